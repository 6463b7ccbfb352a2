// Comparison of the platform's aggregated counters of both builds, for gateways with few outcomes
// of their own.
#pragma once

#include <deckcart/policy.hpp>

#include "sample_window.hpp"

namespace deckcart::policy {

/// Where the platform counts the attempts of all gateways, its counters form comparison windows for
/// gateways with few outcomes of their own. The counters include rejections, dead endpoints and
/// requests that failed on the baseline first, so this gateway must also have seen an error of the
/// canary, and the baseline must not fail often. Covers bad builds at small gateways. Drawback:
/// misses bad builds during an overload.
class UsageComparison {
  public:
    void record(const UsageReport &report, bool fromCanary);
    /// An attempt of this gateway at the canary ended in an error.
    void recordOwnError() { ++ownErrors; }
    /// Compares once both builds have enough attempts; returns whether the canary has failed.
    [[nodiscard]] bool canaryFails();
    /// Whether the last comparison was unfavourable to the canary.
    bool suspicious() const { return unhealthyStreak > 0; }
    /// Starts a new stage, of another build if `otherBuild`.
    void reset(bool otherBuild);

  private:
    SampleWindow canary;
    SampleWindow baseline;
    int unhealthyStreak = 0;
    int ownErrors = 0;
};

}  // namespace deckcart::policy
