// Compares the platform's aggregated counters of both builds, where own outcomes are few.
#pragma once

#include <deckcart/policy.hpp>

#include "sample_window.hpp"

namespace deckcart::policy {

/// Exception where the platform counts attempts, the same for all: they are windows where own
/// outcomes are few. They hold rejections, dead endpoints and requests that have failed on the
/// baseline, so an error of the canary must have been met here, and the baseline must lose few.
/// Covers bad builds at small gateways. Harm: bad ones in an overload.
class UsageComparison {
  public:
    void record(const UsageReport &report, bool ofCanary);
    /// Own attempt at the canary ended with an error.
    void recordOwnError() { ++ownErrors; }
    /// Compares once both have enough; returns whether the canary has failed.
    [[nodiscard]] bool canaryFails();
    /// Whether the last comparison was to the canary's disadvantage.
    bool suspicious() const { return unhealthyStreak > 0; }
    /// A stage has begun; of another build if `otherBuild`.
    void reset(bool otherBuild);

  private:
    SampleWindow canary;
    SampleWindow baseline;
    int unhealthyStreak = 0;
    int ownErrors = 0;
};

}  // namespace deckcart::policy
