// Comparison windows from the platform's aggregated counters.
#include "usage_comparison.hpp"

namespace deckcart::policy {
namespace {

// Consecutive unhealthy windows that are required, since a single one may be chance.
constexpr int kUnhealthyWindowsToFail = 2;

}  // namespace

void UsageComparison::record(const UsageReport &report, bool fromCanary) {
    OutcomeCounts &counts = (fromCanary ? canary : baseline).routes[report.route];
    counts.attempts += report.attempts;
    counts.failures += report.failures;
}

bool UsageComparison::canaryFails() {
    if (!canary.conclusive() || !baseline.conclusive())
        return false;
    const bool unhealthy =
        !baseline.failsOften() && failsMore(canary, baseline, &OutcomeCounts::failures);
    unhealthyStreak = unhealthy ? unhealthyStreak + 1 : 0;
    if (ownErrors > 0 && unhealthyStreak >= kUnhealthyWindowsToFail)
        return true;
    canary = SampleWindow{};
    baseline = SampleWindow{};
    return false;
}

void UsageComparison::reset(bool otherBuild) {
    canary = SampleWindow{};
    baseline = SampleWindow{};
    unhealthyStreak = 0;
    if (otherBuild)
        ownErrors = 0;
}

}  // namespace deckcart::policy
