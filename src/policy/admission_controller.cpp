// Pressure, adaptive throttling and tenant quotas.
#include "admission_controller.hpp"

#include <algorithm>
#include <cmath>

#include "deployment_size.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

// Parts of the latency objective: shedding begins with half a mean's head-room and grows evenly.
constexpr double kShedFrom = 0.45;
constexpr double kShedRange = 0.5;
// Answers of this long give the throughput: some latencies, not a surge's length.
constexpr Duration kThroughputWindow = 1s;
// Ends of this long show an overload that feeds itself: some answers of a small gateway.
constexpr Duration kThrottleWindow = 4s;
// Requests admitted for each that ends in time: a fleet that heals is found.
constexpr double kThrottleRatio = 2;
// Requests in flight that are no overload.
constexpr double kFewInFlight = 4;
// Times its quota that are a tenant's excess.
constexpr double kOverQuota = 1.25;
// The fleet counts as full for this long after a request was shed: some overloads and pauses.
constexpr Duration kFullFor = 5s;
// Clients that repeat shed requests wait so long, or less if they can't: a surge may have passed.
constexpr Duration kRetryAfter = 250ms;

}  // namespace

void AdmissionController::requestAccepted(int tenant, TimePoint now) {
    accepted.push_back({now, tenant});
    countAccepted(tenant, 1);
}

void AdmissionController::requestFinished(int tenant, bool inTime, TimePoint now) {
    if (!hasManyGateways(settings))
        return;
    finished.push_back({now, tenant, inTime});
    countFinished(finished.back(), 1);
}

void AdmissionController::expire(TimePoint now) {
    dropUntil(accepted, now - settings.overloadWindow,
              [&](const AcceptedRequest &request) { countAccepted(request.tenant, -1); });
}

bool AdmissionController::shouldShed(int tenant, double usualSeconds, Duration objective,
                                     const InFlightLoad &load, RandomSource &random,
                                     TimePoint now) {
    const double expected = usualSeconds * pressure(load, now) / toSeconds(objective);
    // A throughput of n answers is known to one part in the root of n: few answers must not shed
    // by chance.
    const double doubt = 1 + 2 / std::sqrt(std::max(1.0, double(answers.size())));
    const double from = doubt * (overQuota(tenant) ? kShedFrom / 2 : kShedFrom);
    const double part = std::max((expected - from) / kShedRange, throttledPart(tenant, now));
    if (part <= 0 || random.chance() >= part)
        return false;
    shedAt = now;
    return true;
}

bool AdmissionController::shedRecently(TimePoint now) const {
    return shedAt != TimePoint{0} && now - shedAt < kFullFor;
}

Duration AdmissionController::retryAfter() const {
    return settings.retryAfterSupported ? std::min<Duration>(settings.maxRetryAfter, kRetryAfter)
                                        : Duration{0};
}

// How many times the usual it takes to answer what is in flight (Little's law).
double AdmissionController::pressure(const InFlightLoad &load, TimePoint now) {
    dropUntil(answers, now - kThroughputWindow);
    if (load.attempts < kFewInFlight)
        return 1;
    const double throughput = std::max(1.0, double(answers.size())) / toSeconds(kThroughputWindow);
    return load.attempts / throughput / (load.usualSeconds / load.attempts);
}

// Adaptive throttling where gateways are many: a few requests a second give no throughput, but show
// that under half of a tenant's end in time. Covers overloads that feed themselves, heedless
// retries. Harm: other failures.
double AdmissionController::throttledPart(int tenant, TimePoint now) {
    dropUntil(finished, now - kThrottleWindow,
              [&](const FinishedRequest &request) { countFinished(request, -1); });
    if (!hasManyGateways(settings))
        return 0;
    const FinishedCounts &counts = finishedOf[tenant];
    return (counts.all - kThrottleRatio * counts.inTime) / (counts.all + kFewInFlight);
}

void AdmissionController::countFinished(const FinishedRequest &request, double change) {
    FinishedCounts &counts = finishedOf[request.tenant];
    counts.all += change;
    counts.inTime += request.inTime ? change : 0;
}

void AdmissionController::countAccepted(int tenant, double change) {
    if (tenant >= 0 && std::size_t(tenant) < acceptedOf.size())
        acceptedOf[std::size_t(tenant)] += change;
}

bool AdmissionController::overQuota(int tenant) const {
    if (tenant < 0 || std::size_t(tenant) >= acceptedOf.size() || accepted.empty())
        return false;
    return acceptedOf[std::size_t(tenant)] >
           kOverQuota * settings.tenantQuotas[std::size_t(tenant)] * double(accepted.size());
}

}  // namespace deckcart::policy
