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
    received[hasQuota(tenant) ? std::size_t(tenant) : received.size() - 1].add(now);
}

void AdmissionController::requestFinished(int tenant, bool inTime, TimePoint now) {
    if (!hasManyGateways(settings))
        return;
    FinishedRequests &ofTenant = finished[tenant];
    ofTenant.all.add(now);
    if (inTime)
        ofTenant.inTime.add(now);
}

void AdmissionController::expire(TimePoint now) {
    for (EventWindow &ofTenant : received)
        ofTenant.dropUntil(now - settings.overloadWindow);
    for (auto &[tenant, requests] : finished)
        requests.dropUntil(now - kThrottleWindow);
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
    if (!hasManyGateways(settings))
        return 0;
    FinishedRequests &requests = finished[tenant];
    requests.dropUntil(now - kThrottleWindow);
    const double all = requests.all.count();
    return (all - kThrottleRatio * requests.inTime.count()) / (all + kMinInFlight);
}

void AdmissionController::FinishedRequests::dropUntil(TimePoint until) {
    all.dropUntil(until);
    inTime.dropUntil(until);
}

bool AdmissionController::hasQuota(int tenant) const {
    return tenant >= 0 && std::size_t(tenant) < settings.tenantQuotas.size();
}

bool AdmissionController::overQuota(int tenant) const {
    if (!hasQuota(tenant))
        return false;
    double receivedOfAll = 0;
    for (const EventWindow &ofTenant : received)
        receivedOfAll += ofTenant.count();
    return received[std::size_t(tenant)].count() >
           kQuotaTolerance * settings.tenantQuotas[std::size_t(tenant)] * receivedOfAll;
}

}  // namespace deckcart::policy
