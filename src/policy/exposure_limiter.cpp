// Sliding windows of received requests and of attempts at limited builds.
#include "exposure_limiter.hpp"

namespace deckcart::policy {

ExposureLimiter::Times &ExposureLimiter::attemptsAt(BuildNumber build, int route) {
    return attempts.try_emplace(build, groupCount()).first->second[group(route)];
}

void ExposureLimiter::requestArrived(int route, TimePoint now) {
    received[group(route)].push_back(now);
}

void ExposureLimiter::attemptSent(BuildNumber build, int route, TimePoint now) {
    attemptsAt(build, route).push_back(now);
}

bool ExposureLimiter::withinLimit(BuildNumber build, int route, double share, TimePoint now) {
    if (share <= 0)
        return false;
    Times &sent = attemptsAt(build, route);
    Times &receivedTimes = received[group(route)];
    dropUntil(sent, now - settings.exposureWindow - kHousekeepingInterval);
    dropUntil(receivedTimes, now - settings.exposureWindow + kHousekeepingInterval);
    return double(sent.size()) + 1 <=
           settings.exposureAllowance + share * double(receivedTimes.size());
}

bool ExposureLimiter::usesLessThan(double share, BuildNumber build, int route) const {
    const auto found = attempts.find(build);
    if (found == attempts.end())
        return true;
    return double(found->second[group(route)].size()) <
           share * double(received[group(route)].size());
}

void ExposureLimiter::expire(TimePoint now) {
    for (Times &times : received)
        dropUntil(times, now - settings.exposureWindow + kHousekeepingInterval);
}

}  // namespace deckcart::policy
