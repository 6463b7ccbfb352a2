// The exposure limit: how many attempts an unreleased build may get, as a fraction of the requests
// received within a window, in total or by route.
#pragma once

#include <cstddef>
#include <deckcart/policy.hpp>
#include <deque>
#include <map>
#include <vector>

#include "event_window.hpp"
#include "time_window.hpp"

namespace deckcart::policy {

class ExposureLimiter {
  public:
    explicit ExposureLimiter(const PolicySettings &policySettings)
        : settings(policySettings),
          received(groupCount(), EventWindow(policySettings.exposureWindow)) {}

    /// Counts a request on arrival, whether it is shed or not.
    void requestArrived(int route, TimePoint now);
    void attemptSent(BuildNumber build, int route, TimePoint now);
    /// Whether one more attempt stays within `share` of the received requests. Attempts are counted
    /// over the window and one housekeeping interval, received requests over the window less one
    /// interval, since the limit holds for windows that end at any moment.
    bool withinLimit(BuildNumber build, int route, double share, TimePoint now);
    /// Whether the build's attempts are below `share` of the received requests, without dropping
    /// expired entries first.
    bool usesLessThan(double share, BuildNumber build, int route) const;
    /// Drops received requests that have left the window. While no build is limited, no other call
    /// does.
    void expire(TimePoint now);

  private:
    using Times = std::deque<TimePoint>;
    std::size_t groupCount() const {
        return settings.exposurePerRoute ? settings.routes.size() : 1;
    }
    std::size_t group(int route) const {
        return settings.exposurePerRoute ? std::size_t(route) : 0;
    }
    Times &attemptsAt(BuildNumber build, int route);

    const PolicySettings &settings;
    // One per route if the limit is per route, else a single one.
    std::vector<EventWindow> received;
    std::map<BuildNumber, std::vector<Times>> attempts;  // same, by build
};

}  // namespace deckcart::policy
