#include "http_downstream.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "../base/number.hpp"
#include "http_request.hpp"
#include "response_headers.hpp"
#include "route_matcher.hpp"

namespace deckcart {
namespace {

constexpr double kMaxRemainingMs = 1e9;  // prevents overflow when converted to microseconds
constexpr double kMicrosecondsPerMillisecond = 1000;

// Answers a request that is not passed on to the gateway, since it has no route.
void reject(http::Exchange &exchange, int status, const char *endReason, const char *text,
            std::vector<http::Header> headers) {
    http::ResponseHead response;
    response.status = status;
    response.headers = std::move(headers);
    response.headers.insert(response.headers.end(),
                            {{kEndHeader, endReason}, {"Content-Type", "text/plain"}});
    exchange.answer(std::move(response), text);
}

std::string headerText(const http::RequestHead &head, const std::string &name) {
    const std::string *found = head.find(name);
    return found ? *found : std::string{};
}

}  // namespace

HttpDownstream::HttpDownstream(asio::io_context &context, const asio::ip::tcp::endpoint &listen,
                               const GatewaySettings &gatewaySettings,
                               DownstreamHandler downstreamHandler)
    : settings(gatewaySettings), handler(std::move(downstreamHandler)),
      listener(
          context, listen, gatewaySettings.listener,
          [this](std::shared_ptr<http::Exchange> exchange) { onExchange(std::move(exchange)); }) {}

void HttpDownstream::drain(std::function<void()> done) {
    listener.drain();
    done();
}

void HttpDownstream::onExchange(std::shared_ptr<http::Exchange> exchange) {
    if (settings.routes.empty())
        return reject(*exchange, 503, "shed", "no settings yet\n", {{"Retry-After", "1"}});
    const auto route = matchRoute(settings.routes, exchange->head.method, exchange->head.target);
    if (!route) {
        handler.onUnrouted();
        return reject(*exchange, 404, "errored", "no route takes this\n", {});
    }
    RequestAttributes attributes = readAttributes(exchange->head, *route);
    auto request = std::make_shared<HttpRequest>(std::move(exchange), settings);
    request->attributes = std::move(attributes);
    handler.onRequest(std::move(request));
}

RequestAttributes HttpDownstream::readAttributes(const http::RequestHead &head,
                                                 std::size_t route) const {
    RequestAttributes attributes;
    attributes.route = route;
    attributes.key = headerText(head, settings.headers.key);
    attributes.requestId = headerText(head, settings.headers.requestId);
    attributes.tenant = tenantIndex(settings.tenants, headerText(head, settings.headers.tenant));
    attributes.timeout = settings.routes[route].routeTimeout;
    const auto remaining = parseNumber(headerText(head, settings.headers.remainingTime));
    if (remaining && *remaining >= 0) {
        const double bounded = std::min(*remaining, kMaxRemainingMs);
        const Duration remainingTime{std::llround(bounded * kMicrosecondsPerMillisecond)};
        attributes.timeout = std::min(attributes.timeout, remainingTime);
    }
    return attributes;
}

}  // namespace deckcart
