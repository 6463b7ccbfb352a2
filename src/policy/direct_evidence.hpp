// Evidence on the canary that needs no full window: requests that failed on one build and succeeded
// on the other, reports of incorrect responses, and the number of attempts to relate them to.
#pragma once

#include <deckcart/policy.hpp>

#include "sample_window.hpp"

namespace deckcart::policy {

/// Counts of the baseline, over its current and its previous window.
struct BaselineCounts {
    double attempts = 0;
    double failures = 0;
    double errors = 0;
};

class DirectEvidence {
  public:
    explicit DirectEvidence(const PolicySettings &policySettings) : settings(policySettings) {}

    /// Counts an attempt at the canary.
    void recordAttempt(TimePoint now);
    /// A request got an error from the canary and then succeeded on another build.
    void recordFailedOnCanary(TimePoint now);
    /// A request got an error from another build and then succeeded on the canary.
    void recordFailedOnBaseline() { ++failedOnBaseline; }
    /// A client reported a response of the canary as incorrect.
    void recordIncorrectResponse(TimePoint now);
    void expire(TimePoint now);
    void reset();

    /// Whether enough incorrect responses were reported to roll back.
    bool reportedIncorrect() const;
    /// Whether enough requests failed on the canary alone to roll back.
    bool pairsShowFailure(const BaselineCounts &baseline) const;
    /// Whether too many of the attempts within the last vote lifetime were bad. For pooled votes.
    bool recentAttemptsFail(const BaselineCounts &baseline) const;
    /// Whether there is any attempt at the canary or report within the last vote lifetime.
    bool hasRecentEvidence() const { return !recent.empty(); }

  private:
    const PolicySettings &settings;
    // Within the last vote lifetime. A value of 0 is an attempt, above 0 a number of bad responses.
    TimedValues recent;
    int failedOnCanary = 0;
    int failedOnBaseline = 0;
    int incorrectReports = 0;
    int attempts = 0;
};

/// Evidence is pooled over gateways if a roll back takes at least this many votes: each vote may
/// then rest on little evidence.
constexpr int kMinVotesForPooling = 4;
/// Minimum number of samples of each build for a pooled comparison.
constexpr double kMinPooledSamples = 4;

}  // namespace deckcart::policy
