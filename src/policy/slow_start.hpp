// How far an endpoint has warmed up since its start, and how many requests it may be sent while
// it has not. The table of endpoints holds one budget for each.
#pragma once

#include <deckcart/policy.hpp>
#include <deque>

#include "time_window.hpp"

namespace deckcart::policy {

struct SlowStartBudget {
    std::deque<TimePoint> sends;  // while warming up
    double roundingChance = 0;    // rounds the broken part of what may be sent
};

class SlowStart {
  public:
    explicit SlowStart(const PolicySettings &policySettings) : settings(policySettings) {}

    /// The part of its capacity that an endpoint of this age has, on the slowest path that the
    /// settings allow.
    double warmUpFraction(Duration age) const;
    /// Whether it may be warming up, with a margin for late word of its start.
    bool warmingUp(Duration age) const;
    /// Answers of younger endpoints are no evidence on their build.
    Duration evidenceAge() const;
    /// An endpoint that left the list is remembered for this long: until it would be warm again.
    Duration memory() const;
    /// Whether one more request may be sent; drops what has left the window.
    bool withinBudget(SlowStartBudget &budget, Duration age, double answersPerEndpoint,
                      TimePoint now) const;

  private:
    const PolicySettings &settings;
};

}  // namespace deckcart::policy
