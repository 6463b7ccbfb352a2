// Warm-up fraction of an endpoint since its start, and the number of requests that it may be sent
// while warming up. The endpoint table holds one budget per endpoint.
#pragma once

#include <deckcart/policy.hpp>
#include <deque>

#include "time_window.hpp"

namespace deckcart::policy {

/// What an endpoint has been sent while warming up.
struct SlowStartBudget {
    std::deque<TimePoint> sends;  ///< attempts sent while warming up
    double roundingChance = 0;  ///< random offset, 0 to 1, that rounds the budget to a whole number
};

class SlowStart {
  public:
    explicit SlowStart(const PolicySettings &policySettings) : settings(policySettings) {}

    /// The fraction of its capacity that an endpoint of this age has, if it warms up as slowly as
    /// the settings allow.
    double warmUpFraction(Duration age) const;
    /// Whether an endpoint of this age may be warming up, with a margin for late notice of its
    /// start. Not limited as the evidence age is.
    bool warmingUp(Duration age) const;
    /// Responses of endpoints younger than this are no evidence on their build.
    Duration evidenceAge() const;
    /// How long a removed endpoint is remembered: until it would be warm again.
    Duration retention() const;
    /// Whether one more request may be sent; drops sends that have left the window.
    bool withinBudget(SlowStartBudget &budget, Duration age, double answersPerEndpoint,
                      TimePoint now) const;

  private:
    const PolicySettings &settings;
};

}  // namespace deckcart::policy
