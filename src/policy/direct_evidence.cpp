// Requests that failed on one build only, and reports of incorrect responses.
#include "direct_evidence.hpp"

#include <algorithm>

namespace deckcart::policy {
namespace {

// Requests that failed on the canary only, and reports of incorrect responses, that lead to a roll
// back. Fewer may be chance.
constexpr int kPairsToRollBack = 3;
constexpr int kReportsToRollBack = 2;
// The gateway votes to roll back if the bad responses (pairs, and reports by their weight) reach
// this fraction of its attempts at the canary within the vote lifetime. A good build rarely has two
// bad ones. A single one is enough for up to ten attempts; the required number of votes guards
// against chance.
constexpr double kBadShareToRollBack = 0.1;
// Lower bound of the recent bad responses, below the weight of a single one: none at all is no
// evidence.
constexpr double kMinBad = 0.01;
// Each report is weighted by the inverse of the report rate. This lower bound of the rate limits
// the weight to 100 responses.
constexpr double kMinReportRate = 0.01;

// Whether the canary's failure rate is more than twice the baseline's. Prevents a roll back on the
// first failures if both builds fail. Drawback: while the baseline fails too, a bad build is
// detected some seconds later.
bool exceedsBaseline(double badResponses, double attempts, double baselineBad,
                     double baselineAttempts) {
    return badResponses > kFailureRatio * (baselineBad / std::max(1.0, baselineAttempts)) *
                              (attempts + kMinPooledSamples);
}

}  // namespace

void DirectEvidence::recordAttempt(TimePoint now) {
    recent.push_back({now, 0});
    ++attempts;
}

void DirectEvidence::recordFailedOnCanary(TimePoint now) {
    ++failedOnCanary;
    recent.push_back({now, 1});
}

void DirectEvidence::recordIncorrectResponse(TimePoint now) {
    ++incorrectReports;
    recent.push_back({now, 1 / std::max(kMinReportRate, settings.incorrectReportRate)});
}

void DirectEvidence::expire(TimePoint now) {
    dropUntil(recent, now - settings.voteLifetime);
}

void DirectEvidence::reset() {
    recent.clear();
    failedOnCanary = 0;
    failedOnBaseline = 0;
    incorrectReports = 0;
    attempts = 0;
}

bool DirectEvidence::reportedIncorrect() const {
    return incorrectReports >= kReportsToRollBack;
}

bool DirectEvidence::pairsShowFailure(const BaselineCounts &baseline) const {
    // Where two or three votes are required, each gateway needs one pair less. Where evidence is
    // pooled, the full number is required here, since the vote does not lapse; for votes that lapse
    // recentAttemptsFail accepts a single pair if attempts are few.
    const bool fewVotes =
        settings.votesToRollBack > 1 && settings.votesToRollBack < kMinVotesForPooling;
    const int required = fewVotes ? kPairsToRollBack - 1 : kPairsToRollBack;
    return failedOnCanary >= required && failedOnCanary > 2 * failedOnBaseline + 1 &&
           exceedsBaseline(failedOnCanary, attempts, baseline.errors, baseline.attempts);
}

bool DirectEvidence::recentAttemptsFail(const BaselineCounts &baseline) const {
    double recentAttempts = 0;
    double badResponses = 0;
    for (const TimedValue &entry : recent) {
        recentAttempts += entry.value == 0;
        badResponses += entry.value;
    }
    return badResponses >= std::max(kMinBad, kBadShareToRollBack * recentAttempts) &&
           exceedsBaseline(badResponses, recentAttempts, baseline.failures, baseline.attempts);
}

}  // namespace deckcart::policy
