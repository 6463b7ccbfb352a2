#include "request_log.hpp"

#include <utility>

namespace deckcart {
namespace {

const char *nameOf(Outcome outcome) {
    switch (outcome) {
    case Outcome::ok:
        return "ok";
    case Outcome::error:
        return "error";
    case Outcome::overloaded:
        return "full";
    case Outcome::timeout:
        return "timeout";
    case Outcome::connectFailed:
        return "connect-failed";
    case Outcome::reset:
        return "reset";
    case Outcome::cancelled:
        return "cancelled";
    case Outcome::obsolete:
        return "moot";
    case Outcome::malformed:
        return "unreadable";
    }
    return "moot";
}

}  // namespace

RequestLog::RequestLog(Log target, const GatewaySettings &gatewaySettings,
                       std::mt19937_64 &randomSource)
    : log(std::move(target)), settings(gatewaySettings), random(randomSource) {}

void RequestLog::write(const RequestContext &request, const char *end, TimePoint now) {
    if (!log.isEnabled() || settings.requestLogSample <= 0 ||
        std::generate_canonical<double, 32>(random) >= settings.requestLogSample)
        return;
    nlohmann::json attempts = nlohmann::json::array();
    for (const AttemptContext &attempt : request.attempts)
        attempts.push_back({{"instance", attempt.endpoint},
                            {"build", attempt.build},
                            {"outcome", attempt.ended ? nameOf(attempt.outcome) : "out"},
                            {"sentMs", milliseconds(attempt.sentAt - request.arrivedAt)}});
    const RequestAttributes &attributes = request.downstream->attributes;
    log.info("req", {{"req", request.clientRequestId},
                     {"key", attributes.key},
                     {"route", settings.routes[attributes.route].name},
                     {"end", end},
                     {"tries", std::move(attempts)},
                     {"ms", milliseconds(now - request.arrivedAt)}});
}

}  // namespace deckcart
