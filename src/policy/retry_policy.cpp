// Retries: what may be repeated, and when it is worth it.
#include "retry_policy.hpp"

#include <algorithm>

namespace deckcart::policy {
namespace {

// Further attempts a request: more would feed an overload.
constexpr double kBudgetPerRequest = 0.2;
// Times the usual latency, the fleet's slowness included, that tell of silence.
constexpr double kSilentAfter = 4;

}  // namespace

void RetryPolicy::requestAccepted() {
    budget = std::min(kBudgetMost, budget + kBudgetPerRequest);
}

bool RetryPolicy::mayAttempt(const Request &request) const {
    return int(request.attempts.size()) < settings.maxAttempts &&
           (settings.hedgingAllowed || !request.outstanding());
}

bool RetryPolicy::mayRepeat(const Request &request, TimePoint now) const {
    const Attempt *ran = request.firstThatMayHaveRun();
    const Route &traits = route(request);
    if (!ran || traits.idempotency == Idempotency::idempotent)
        return true;
    const TimePoint latest = ran->sentAt + traits.deduplicationWindow - settings.maxSendDelay -
                             2 * kHousekeepingInterval;
    return traits.idempotency == Idempotency::withKey && now <= latest;
}

bool RetryPolicy::sharesDeduplication(const Request &request, const Endpoint &endpoint) const {
    const Attempt *ran = request.firstThatMayHaveRun();
    const Route &traits = route(request);
    if (!ran || traits.idempotency != Idempotency::withKey ||
        traits.deduplicationScope == DeduplicationScope::all)
        return true;
    if (ran->zone != endpoint.entry.zone)
        return false;
    return traits.deduplicationScope != DeduplicationScope::cell ||
           ran->cell == endpoint.entry.cell;
}

bool RetryPolicy::mayShed(const Request &request) const {
    const Route &traits = route(request);
    return traits.idempotency == Idempotency::idempotent || !request.firstThatMayHaveRun() ||
           (traits.idempotency == Idempotency::withKey &&
            traits.deduplicationScope == DeduplicationScope::all);
}

bool RetryPolicy::worthWaiting(const Request &request, double usualSeconds, TimePoint now) const {
    const TimePoint latest = std::min(wantedBy(request) - fromSeconds(usualSeconds),
                                      request.arrival.deadline - 2 * kHousekeepingInterval);
    return now < latest && int(request.attempts.size()) < settings.maxAttempts &&
           mayRepeat(request, now);
}

bool RetryPolicy::inTime(const Request &request, double seconds, TimePoint now) const {
    return now + fromSeconds(seconds) < wantedBy(request);
}

bool RetryPolicy::silentTooLong(const Attempt &attempt, double usualSeconds, double fleetSlowness,
                                TimePoint now) const {
    return attempt.inFlight && !attempt.abandoned &&
           attempt.endpoint->health.silentSince(attempt.sentAt) &&
           now - attempt.sentAt >= fromSeconds(kSilentAfter * fleetSlowness * usualSeconds);
}

}  // namespace deckcart::policy
