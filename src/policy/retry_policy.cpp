// Rules of retries: which requests may be repeated, and when a retry is worth sending.
#include "retry_policy.hpp"

#include <algorithm>

namespace deckcart::policy {
namespace {

// Retries per received request. More would sustain an overload.
constexpr double kBudgetPerRequest = 0.2;
// An endpoint is silent for too long after this multiple of the usual latency, scaled by the
// fleet's current slowness.
constexpr double kSilenceFactor = 4;

}  // namespace

void RetryPolicy::requestArrived() {
    budget = std::min(kMaxBudget, budget + kBudgetPerRequest);
}

bool RetryPolicy::mayAttempt(const Request &request) const {
    return int(request.attempts.size()) < settings.maxAttempts &&
           (settings.hedgingAllowed || !request.outstanding());
}

bool RetryPolicy::mayRepeat(const Request &request, TimePoint now) const {
    const Attempt *firstRun = request.firstThatMayHaveRun();
    const Route &routeSettings = route(request);
    if (!firstRun || routeSettings.idempotency == Idempotency::idempotent)
        return true;
    const TimePoint latest = firstRun->sentAt + routeSettings.deduplicationWindow -
                             settings.maxSendDelay - 2 * kHousekeepingInterval;
    return routeSettings.idempotency == Idempotency::withKey && now <= latest;
}

bool RetryPolicy::sharesDeduplication(const Request &request, const Endpoint &endpoint) const {
    const Attempt *firstRun = request.firstThatMayHaveRun();
    const Route &routeSettings = route(request);
    if (!firstRun || routeSettings.idempotency != Idempotency::withKey ||
        routeSettings.deduplicationScope == DeduplicationScope::all)
        return true;
    if (firstRun->zone != endpoint.entry.zone)
        return false;
    return routeSettings.deduplicationScope != DeduplicationScope::cell ||
           firstRun->cell == endpoint.entry.cell;
}

bool RetryPolicy::mayShed(const Request &request) const {
    const Route &routeSettings = route(request);
    return routeSettings.idempotency == Idempotency::idempotent || !request.firstThatMayHaveRun() ||
           (routeSettings.idempotency == Idempotency::withKey &&
            routeSettings.deduplicationScope == DeduplicationScope::all);
}

bool RetryPolicy::worthWaiting(const Request &request, double usualSeconds, TimePoint now) const {
    const TimePoint latest = std::min(objectiveDeadline(request) - fromSeconds(usualSeconds),
                                      request.arrival.deadline - 2 * kHousekeepingInterval);
    return now < latest && int(request.attempts.size()) < settings.maxAttempts &&
           mayRepeat(request, now);
}

bool RetryPolicy::endsWithinObjective(const Request &request, double seconds, TimePoint now) const {
    return now + fromSeconds(seconds) < objectiveDeadline(request);
}

bool RetryPolicy::silentTooLong(const Attempt &attempt, double usualSeconds, double fleetSlowness,
                                TimePoint now) const {
    return attempt.inFlight && !attempt.abandoned &&
           attempt.endpoint->health.silentSince(attempt.sentAt) &&
           now - attempt.sentAt >= fromSeconds(kSilenceFactor * fleetSlowness * usualSeconds);
}

}  // namespace deckcart::policy
