// Sliding windows of received requests and of attempts at limited builds.
#include "exposure_limiter.hpp"

namespace deckcart::policy {

ExposureLimiter::Times &ExposureLimiter::attemptsAt(BuildNumber build, int route) {
    return attempts.try_emplace(build, groupCount()).first->second[group(route)];
}

void ExposureLimiter::requestArrived(int route, TimePoint now) {
    received[group(route)].add(now);
}

void ExposureLimiter::attemptSent(BuildNumber build, int route, TimePoint now) {
    attemptsAt(build, route).push_back(now);
}

bool ExposureLimiter::withinLimit(BuildNumber build, int route, double share, TimePoint now) {
    if (share <= 0)
        return false;
    Times &sent = attemptsAt(build, route);
    EventWindow &receivedRequests = received[group(route)];
    dropUntil(sent, now - settings.exposureWindow - kHousekeepingInterval);
    receivedRequests.dropUntil(now - settings.exposureWindow + kHousekeepingInterval);
    return double(sent.size()) + 1 <= settings.exposureAllowance + share * receivedRequests.count();
}

bool ExposureLimiter::usesLessThan(double share, BuildNumber build, int route) const {
    const auto found = attempts.find(build);
    if (found == attempts.end())
        return true;
    return double(found->second[group(route)].size()) < share * received[group(route)].count();
}

void ExposureLimiter::expire(TimePoint now) {
    for (EventWindow &requests : received)
        requests.dropUntil(now - settings.exposureWindow + kHousekeepingInterval);
}

}  // namespace deckcart::policy
