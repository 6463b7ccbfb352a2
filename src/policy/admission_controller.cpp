// Load pressure, adaptive throttling and tenant quotas.
#include "admission_controller.hpp"

#include <algorithm>
#include <cmath>

#include "deployment_size.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

// Shedding starts when the expected latency reaches this fraction of the latency objective; the
// fraction is raised while the throughput is uncertain (see shouldShed). The expected latency is a
// mean, so it needs headroom for requests that take longer.
constexpr double kShedThreshold = 0.45;
// From the threshold on, the shed probability grows linearly to 1 over this fraction of the
// objective.
constexpr double kShedRange = 0.5;
// Throughput is measured over this time: several latencies, but shorter than a surge.
constexpr Duration kThroughputWindow = 1s;
// Adaptive throttling considers requests that ended within this time: enough requests even at a
// small gateway.
constexpr Duration kThrottleWindow = 4s;
// Requests admitted per request that ended in time. Above 1, so that a recovery of the fleet is
// noticed.
constexpr double kThrottleRatio = 2;
// With fewer attempts in flight, the load pressure is not estimated but taken as 1. The number is
// also added to a tenant's finished requests, so that a few failures cause little throttling.
constexpr double kMinInFlight = 4;
// A tenant exceeds its quota from this multiple of it on.
constexpr double kQuotaTolerance = 1.25;
// The fleet is considered full for this long after shouldShed last shed a request: covers repeated
// overloads and the pauses between them.
constexpr Duration kFleetFullPeriod = 5s;
// Delay after which clients may repeat a shed request, if the maximum allows: a surge may have
// passed by then.
constexpr Duration kRetryAfter = 250ms;

}  // namespace

void AdmissionController::requestArrived(int tenant, TimePoint now) {
    received.push_back({now, tenant});
    countReceived(tenant, 1);
}

void AdmissionController::requestFinished(int tenant, bool inTime, TimePoint now) {
    if (!hasManyGateways(settings))
        return;
    finished.push_back({now, tenant, inTime});
    countFinished(finished.back(), 1);
}

void AdmissionController::expire(TimePoint now) {
    dropUntil(received, now - settings.overloadWindow,
              [&](const ReceivedRequest &request) { countReceived(request.tenant, -1); });
}

bool AdmissionController::shouldShed(int tenant, double usualSeconds, Duration objective,
                                     const InFlightLoad &load, RandomSource &random,
                                     TimePoint now) {
    const double expectedLatency = usualSeconds * loadPressure(load, now) / toSeconds(objective);
    // The relative error of a throughput of n responses is about 1/sqrt(n): a few responses must
    // not cause shedding by chance.
    const double uncertainty = 1 + 2 / std::sqrt(std::max(1.0, double(answerTimes.size())));
    const double threshold =
        uncertainty * (overQuota(tenant) ? kShedThreshold / 2 : kShedThreshold);
    const double shedProbability =
        std::max((expectedLatency - threshold) / kShedRange, throttledFraction(tenant, now));
    if (shedProbability <= 0 || random.chance() >= shedProbability)
        return false;
    lastShedAt = now;
    return true;
}

bool AdmissionController::shedRecently(TimePoint now) const {
    return lastShedAt != TimePoint{0} && now - lastShedAt < kFleetFullPeriod;
}

Duration AdmissionController::retryAfter() const {
    return settings.retryAfterSupported ? std::min<Duration>(settings.maxRetryAfter, kRetryAfter)
                                        : Duration{0};
}

// Time to answer the attempts in flight, as a multiple of their usual latency (Little's law).
double AdmissionController::loadPressure(const InFlightLoad &load, TimePoint now) {
    dropUntil(answerTimes, now - kThroughputWindow);
    if (load.attempts < kMinInFlight)
        return 1;
    const double throughput =
        std::max(1.0, double(answerTimes.size())) / toSeconds(kThroughputWindow);
    return load.attempts / throughput / (load.usualSeconds / load.attempts);
}

// Adaptive throttling where gateways are many: a few requests per second give no throughput, but
// they show when less than half of a tenant's requests end in time. Covers overloads that sustain
// themselves and clients that retry without limit. Drawback: also reacts to failures of other
// origin.
double AdmissionController::throttledFraction(int tenant, TimePoint now) {
    dropUntil(finished, now - kThrottleWindow,
              [&](const FinishedRequest &request) { countFinished(request, -1); });
    if (!hasManyGateways(settings))
        return 0;
    const FinishedCounts &counts = finishedByTenant[tenant];
    return (counts.all - kThrottleRatio * counts.inTime) / (counts.all + kMinInFlight);
}

void AdmissionController::countFinished(const FinishedRequest &request, double change) {
    FinishedCounts &counts = finishedByTenant[request.tenant];
    counts.all += change;
    counts.inTime += request.inTime ? change : 0;
}

void AdmissionController::countReceived(int tenant, double change) {
    if (tenant >= 0 && std::size_t(tenant) < receivedByTenant.size())
        receivedByTenant[std::size_t(tenant)] += change;
}

bool AdmissionController::overQuota(int tenant) const {
    if (tenant < 0 || std::size_t(tenant) >= receivedByTenant.size() || received.empty())
        return false;
    return receivedByTenant[std::size_t(tenant)] >
           kQuotaTolerance * settings.tenantQuotas[std::size_t(tenant)] * double(received.size());
}

}  // namespace deckcart::policy
