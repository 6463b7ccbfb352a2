// Evidence on the canary that needs no full window: requests that failed on one build and were
// answered by the other, reports of incorrect responses, and the attempts they are held against.
#pragma once

#include <deckcart/policy.hpp>

#include "sample_window.hpp"

namespace deckcart::policy {

// What the baseline loses as well, of its window and the last.
struct BaselineLosses {
    double attempts = 0;
    double failures = 0;
    double errors = 0;
};

class DirectEvidence {
  public:
    explicit DirectEvidence(const PolicySettings &policySettings) : settings(policySettings) {}

    /// An attempt at the canary was counted.
    void recordAttempt(TimePoint now);
    /// A request ended with an error on the canary and was answered by another build.
    void recordFailedOnCanary(TimePoint now);
    /// And the reverse.
    void recordFailedOnBaseline() { ++failedOnBaseline; }
    void recordIncorrectResponse(TimePoint now);
    void expire(TimePoint now);
    void reset();

    /// Whether enough incorrect responses were reported to roll back.
    bool incorrect() const;
    /// Whether enough requests failed on the canary alone to roll back.
    bool pairsFail(const BaselineLosses &losses) const;
    /// Whether the attempts of the last vote life hold too many bad ones.
    bool recentlyBad(const BaselineLosses &losses) const;
    /// Whether any of the canary's attempts is that recent.
    bool anyRecent() const { return !recent.empty(); }

  private:
    const PolicySettings &settings;
    TimedValues recent;  // attempts of the last vote life; values over 0: as many bad ones
    int failedOnCanary = 0;
    int failedOnBaseline = 0;
    int incorrectReports = 0;
    int attempts = 0;
};

// Where a roll back takes so many votes, each may rest on little evidence.
constexpr int kPooledVotes = 4;
// Answers of each build that a comparison of few needs.
constexpr double kPooledLeast = 4;

}  // namespace deckcart::policy
