// The exposure rule: of the accepted requests of a window, how many attempts a limited build may
// get, in all or by route.
#pragma once

#include <cstddef>
#include <deckcart/policy.hpp>
#include <deque>
#include <map>
#include <vector>

#include "time_window.hpp"

namespace deckcart::policy {

class ExposureLimiter {
  public:
    explicit ExposureLimiter(const PolicySettings &policySettings)
        : settings(policySettings), accepted(groups()) {}

    void requestAccepted(int route, TimePoint now);
    void attemptSent(BuildNumber build, int route, TimePoint now);
    /// Whether one more attempt stays within `share` of the accepted requests. Counts attempts over
    /// one housekeeping interval more and accepted requests over one less than the window: it may
    /// end anywhere.
    bool withinLimit(BuildNumber build, int route, double share, TimePoint now);
    /// Whether the build's attempts are under `share` of the accepted requests, as last counted.
    bool usesLessThan(double share, BuildNumber build, int route) const;
    /// Drops accepted requests that have left the window; while no build is limited nothing else
    /// does.
    void expire(TimePoint now);

  private:
    using Times = std::deque<TimePoint>;
    std::size_t groups() const { return settings.exposurePerRoute ? settings.routes.size() : 1; }
    std::size_t group(int route) const {
        return settings.exposurePerRoute ? std::size_t(route) : 0;
    }
    Times &attemptsAt(BuildNumber build, int route);

    const PolicySettings &settings;
    std::vector<Times> accepted;                         // by route, if the limit is
    std::map<BuildNumber, std::vector<Times>> attempts;  // likewise
};

}  // namespace deckcart::policy
