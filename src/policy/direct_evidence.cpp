// Pairs of failed and answered attempts, and reports of incorrect responses.
#include "direct_evidence.hpp"

#include <algorithm>

namespace deckcart::policy {
namespace {

// Requests that failed on the canary only, and reports of incorrect responses, that roll back:
// fewer may be chance.
constexpr int kPairsToRollBack = 3;
constexpr int kReportsToRollBack = 2;
// Of the canary's attempts failed or incorrect: two of a good build's are rare.
constexpr double kBadShare = 0.1;
// Under any single bad one: none is no evidence.
constexpr double kAnyBad = 0.01;
// A report stands for as many incorrect responses as go unreported, a hundred at most.
constexpr double kLeastReportRate = 0.01;

// Whether so many bad ones of the canary's attempts are over twice what the baseline loses as well.
// Guards against a roll back on a first few failures that both share. Harm: some seconds of a bad
// build in a rough time.
bool clearlyMore(double bad, double attempts, double shared, double sharedOf) {
    return bad > kFailureRatio * (shared / std::max(1.0, sharedOf)) * (attempts + kPooledLeast);
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
    recent.push_back({now, 1 / std::max(kLeastReportRate, settings.incorrectReportRate)});
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

bool DirectEvidence::incorrect() const {
    return incorrectReports >= kReportsToRollBack;
}

bool DirectEvidence::pairsFail(const BaselineLosses &losses) const {
    // Where two or three votes are needed each rests on a pair less; the pooled ones lapse and so
    // need one.
    const bool fewVotes = settings.votesToRollBack > 1 && settings.votesToRollBack < kPooledVotes;
    const int least = fewVotes ? kPairsToRollBack - 1 : kPairsToRollBack;
    return failedOnCanary >= least && failedOnCanary > 2 * failedOnBaseline + 1 &&
           clearlyMore(failedOnCanary, attempts, losses.errors, losses.attempts);
}

bool DirectEvidence::recentlyBad(const BaselineLosses &losses) const {
    double tried = 0;
    double bad = 0;
    for (const TimedValue &entry : recent) {
        tried += entry.value == 0;
        bad += entry.value;
    }
    return bad >= std::max(kAnyBad, kBadShare * tried) &&
           clearlyMore(bad, tried, losses.failures, losses.attempts);
}

}  // namespace deckcart::policy
