// Window comparison, pooled evidence, verdict on the canary.
#include "canary_analyzer.hpp"

#include <algorithm>
#include <utility>

#include "deployment_size.hpp"
#include "outcomes.hpp"
#include "statistics.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

// Minimum length of a comparison window. In a shorter one the baseline may lack attempts, and the
// canary would be compared with an earlier window of the baseline. Also the settling time of the
// limit to an even share: attempts sent within it are not counted.
constexpr Duration kMinWindow = 1s;
// Minimum number of latency samples for a p95.
constexpr int kMinLatencySamples = 50;
// Consecutive windows that are required. A single one may be chance; rolling back takes fewer,
// since missing a bad build costs more than delaying a promotion.
constexpr int kHealthyWindowsToPromote = 3;
constexpr int kUnhealthyWindowsToRollBack = 2;
// Where traffic is too low to fill windows, the canary is promoted after this time without a
// failure.
constexpr Duration kFailureFreePeriod = 5s;
// The canary counts as slow if its p95 exceeds the reference p95 by this factor. 1.5 is too low: at
// high load the requests of a build that is only 10% slower already queue for twice as long.
constexpr double kSlowP95Factor = 2;
// The p95 must also exceed the reference by this much, since latencies of fast routes vary more in
// relation to their length.
constexpr Duration kSlowP95Margin = 20ms;
// Latency samples are kept this long, so that the minimum count is reached.
constexpr Duration kLatencyWindow = 10s;
// The canary's median endpoint must be slower than the baseline's by this factor: one slow endpoint
// is no evidence.
constexpr double kSlowMedianEndpointFactor = 1.6;
// The gateway votes to promote no sooner than this after the estimated start of the stage's clock:
// 2 s, and a margin of 0.5 s for the error of the estimate. Short stages scale it down.
constexpr Duration kPromotionDelay = 2500ms;
// Pooled evidence: the canary is slower by more than this factor, and by this many standard errors
// beyond it, to restart the failure-free period or to vote for a roll back.
constexpr double kPooledSlownessFactor = 1.4;
constexpr double kStandardErrorsToDelay = 1;
constexpr double kStandardErrorsToRollBack = 2;
// In a canary phase, the baseline counts as serving most requests while the canary's share of first
// attempts is below this.
constexpr double kSmallCanaryShare = 0.25;

}  // namespace

bool CanaryAnalyzer::baselineServesMost(const AnalysisContext &context) const {
    if (!context.rollout.inPhase(RolloutPhase::canary))
        return true;
    return interference.idle() && context.canaryShare < kSmallCanaryShare;
}

// Whether the outcome is evidence for or against the build.
bool CanaryAnalyzer::isEvidence(const AttemptSample &sample, const AnalysisContext &context) const {
    // A malformed response is a fault of the connection and says nothing about the build.
    if (provesNotRun(sample.outcome) || sample.outcome == Outcome::malformed)
        return false;
    if (!context.rollout.underAnalysis())
        return false;
    // An earlier build that was rolled back is neither the canary nor its baseline. Its late
    // failures would raise the baseline's failure rate and so hide failures of the next canary.
    if (sample.build < context.rollout.current().build &&
        sample.build == context.rollout.rolledBackBuild())
        return false;
    // Timeouts and resets of an unresponsive endpoint are a fault of that endpoint and say nothing
    // about the build.
    return !isFailure(sample.outcome) || sample.outcome == Outcome::error ||
           !sample.endpointUnresponsive;
}

void CanaryAnalyzer::recordAttempt(const AttemptSample &sample, const AnalysisContext &context) {
    if (!isEvidence(sample, context))
        return;
    const TimePoint now = context.now;
    const BuildNumber rolloutBuild = context.rollout.current().build;
    const bool fromCanary = sample.build == rolloutBuild;
    SampleWindow &window = fromCanary ? canary : baseline;
    // A cancelled or timed-out attempt took at least its elapsed time. Without these samples the
    // slowest responses of a slow build would not be counted.
    const bool cutShort =
        sample.outcome == Outcome::cancelled || sample.outcome == Outcome::timeout;
    const bool comparableEndpoint =
        sample.build <= rolloutBuild && !sample.tooYoung && !sample.endpointUnresponsive;
    if (cutShort && comparableEndpoint && sample.slowness > 1 &&
        settings.votesToRollBack >= kMinVotesForPooling)
        window.slowness.push_back({now, sample.slowness});
    if (sample.outcome == Outcome::cancelled)
        return;
    recordPair(sample, context);
    if (fromCanary)
        recordCanary(sample, now);
    if (sample.tooYoung || sample.build > rolloutBuild ||
        (evenShareActive && sample.sentAt < evenShareSince + kMinWindow))
        return;
    window.add(sample.route, sample.endpoint, isFailure(sample.outcome),
               sample.outcome == Outcome::error, sample.slowness);
    if (sample.outcome == Outcome::ok)
        recordLatency(sample, context, window);
}

void CanaryAnalyzer::recordPair(const AttemptSample &sample, const AnalysisContext &context) {
    if (sample.outcome != Outcome::ok || !sample.previousErrorBuild ||
        *sample.previousErrorBuild == sample.build)
        return;
    const BuildNumber rolloutBuild = context.rollout.current().build;
    if (*sample.previousErrorBuild == rolloutBuild)
        direct.recordFailedOnCanary(context.now);
    else if (sample.build == rolloutBuild)
        direct.recordFailedOnBaseline();
}

void CanaryAnalyzer::recordCanary(const AttemptSample &sample, TimePoint now) {
    const bool error = sample.outcome == Outcome::error;
    // With many gateways a single one rarely fills a window that would show that the baseline fails
    // as well, so failures are not held against the canary while the baseline fails often.
    // Drawback: hides a bad canary while the baseline is bad too.
    const bool baselineAlsoFails = hasManyGateways(settings) && baseline.failsOften();
    if (isFailure(sample.outcome) && (!sample.tooYoung || error) && !baselineAlsoFails)
        lastCanaryFailure = now;
    if (error)
        usage.recordOwnError();
    direct.recordAttempt(now);
}

void CanaryAnalyzer::recordLatency(const AttemptSample &sample, const AnalysisContext &context,
                                   SampleWindow &window) {
    const TimePoint now = context.now;
    const RolloutTracker &rollout = context.rollout;
    window.slowness.push_back({now, sample.slowness});
    while (window.slowness.front().at < now - kLatencyWindow)
        window.slowness.pop_front();
    // A build that was released longer ago than this is the baseline of the next canary.
    if (&window == &canary &&
        (rollout.isCanary(sample.build) || now - rollout.stageStart() <= kLatencyWindow))
        return;
    interference.recordBaseline(sample.slowness, now);
    // Samples from before the canary are preferred, since the canary may slow the baseline from its
    // first requests on.
    if (baselineServesMost(context) &&
        (!rollout.isCanary(rollout.current().build) || interference.needsReferenceSamples()))
        interference.recordReference(sample.slowness);
}

void CanaryAnalyzer::recordUsage(const UsageReport &report, const AnalysisContext &context) {
    const RolloutTracker &rollout = context.rollout;
    if (!rollout.known() || report.age > context.now - rollout.stageStart() ||
        report.build > rollout.current().build)
        return;
    usage.record(report, report.build == rollout.current().build);
}

void CanaryAnalyzer::beginStage(bool otherBuild, TimePoint now) {
    if (otherBuild) {
        canaryFailed = false;
        evenShareActive = false;
        previousBaseline = SampleWindow{};
        direct.reset();
        pooledRollBackUntil = TimePoint{0};
    }
    interference.reset();
    closeWindow(now);
    for (SampleWindow *window : {&canary, &baseline}) {
        // Recent latency samples are kept unless the build is new.
        TimedValues kept;
        if (!otherBuild)
            kept = std::move(window->slowness);
        *window = SampleWindow{};
        window->slowness = std::move(kept);
    }
    healthyStreak = 0;
    unhealthyStreak = 0;
    usage.reset(otherBuild);
    lastCanaryFailure = TimePoint{0};
}

void CanaryAnalyzer::expire(TimePoint now) {
    interference.expire(now);
    direct.expire(now);
}

std::vector<std::string> CanaryAnalyzer::analyze(const AnalysisContext &context,
                                                 VoteSchedule &votes) {
    messages.clear();
    if (canaryFailed || !context.rollout.underAnalysis())
        return {};
    if (checkDirectEvidence(votes, context.now) == Progress::proceed &&
        checkPooledEvidence(votes, context.now) == Progress::proceed &&
        compareWindows(votes, context) == Progress::proceed &&
        context.rollout.inPhase(RolloutPhase::canary) &&
        checkInterference(votes, context) == Progress::proceed)
        considerPromotion(votes, context);
    return std::exchange(messages, {});
}

void CanaryAnalyzer::concludeFailed(const std::string &reason, VoteSchedule &votes, TimePoint now) {
    canaryFailed = true;
    votes.setDesired(Verdict::rollBack, reason, now);
}

CanaryAnalyzer::Progress CanaryAnalyzer::checkDirectEvidence(VoteSchedule &votes, TimePoint now) {
    if (direct.reportedIncorrect())
        concludeFailed("wrong answers", votes, now);
    else if (direct.pairsShowFailure(baselineCounts()))
        concludeFailed("pairs", votes, now);
    else if (usage.canaryFails())
        concludeFailed("counts", votes, now);
    return canaryFailed ? Progress::stop : Progress::proceed;
}

CanaryAnalyzer::Progress CanaryAnalyzer::checkPooledEvidence(VoteSchedule &votes, TimePoint now) {
    if (settings.votesToRollBack >= kMinVotesForPooling && pooledEvidenceAgainstCanary(now))
        pooledRollBackUntil = now + settings.voteLifetime;
    if (now < pooledRollBackUntil) {
        votes.setDesired(Verdict::rollBack, "pooled doubts", now);
        return Progress::stop;
    }
    if (votes.desired() == Verdict::rollBack)
        votes.setDesired(Verdict::none, "doubts gone", now);
    return Progress::proceed;
}

BaselineCounts CanaryAnalyzer::baselineCounts() const {
    const auto sumOfWindows = [&](double OutcomeCounts::*counter) {
        return baseline.sum(counter) + previousBaseline.sum(counter);
    };
    return {sumOfWindows(&OutcomeCounts::attempts), sumOfWindows(&OutcomeCounts::failures),
            sumOfWindows(&OutcomeCounts::errors)};
}

// Where a roll back needs many votes, a single gateway of hundreds may not fill a window in time.
// Its vote may therefore rest on the few responses of the last vote lifetime and lapses with them;
// the required number of votes replaces the minimum sample count. Covers errors, incorrect
// responses and slowness. Drawback: the evidence is thin where many votes are required but come
// from a small part of the gateways.
bool CanaryAnalyzer::pooledEvidenceAgainstCanary(TimePoint now) {
    if (direct.recentAttemptsFail(baselineCounts()))
        return true;
    const auto canaryRatios = valuesSince(canary.slowness, now - kLatencyWindow);
    const auto baselineRatios = valuesSince(baseline.slowness, now - kLatencyWindow);
    const double standardErrors =
        std::min(standardErrorsSlower(canaryRatios, baselineRatios, kPooledSlownessFactor,
                                      kMinPooledSamples),
                 standardErrorsSlower(canaryRatios, interference.referenceSamples(),
                                      kPooledSlownessFactor, kMinPooledSamples));
    if (standardErrors > kStandardErrorsToDelay)
        lastCanaryFailure = now;  // slow responses restart the failure-free period
    return standardErrors > kStandardErrorsToRollBack;
}

// Timeouts and resets alone count against the build only if it is slow on most of its endpoints,
// since dead, unresponsive or overloaded endpoints cause them too. Drawback: misses a build that
// drops requests without a response.
bool CanaryAnalyzer::slowOnMostEndpoints(const SampleWindow &base) const {
    return canary.typicalSlowness() > kSlowMedianEndpointFactor * base.typicalSlowness();
}

// Returns whether the canary's p95 latency is clearly above the baseline's, both now and while the
// baseline served most requests: in late stages the canary's endpoints take more traffic and queue
// more than the baseline's beside them. The canary must also be slow on most of its endpoints, so
// that a noisy neighbour or a stall of one endpoint is not attributed to the build. Drawback: less
// sensitive if the fleet was slow before. Empty: too few latency samples to tell. Drops the
// canary's latency samples once there are enough of them to compare.
std::optional<bool> CanaryAnalyzer::compareLatencies(const SampleWindow &base, bool usePrevious,
                                                     const AnalysisContext &context) {
    if (int(canary.slowness.size()) < kMinLatencySamples)
        return std::nullopt;
    // Unless the previous window is used, both sides are compared over the same time, or an earlier
    // slowdown of both builds would remain in the side with fewer, older samples only. In late
    // stages the baseline has few samples, so the comparison goes back in time until it has the
    // minimum count, within the latency window.
    TimePoint since = (canary.slowness.end() - kMinLatencySamples)->at;
    if (!usePrevious && int(base.slowness.size()) >= kMinLatencySamples)
        since = std::max(context.now - kLatencyWindow,
                         std::min(since, (base.slowness.end() - kMinLatencySamples)->at));
    const auto canaryRatios = valuesSince(canary.slowness, since);
    const auto baselineRatios = valuesSince(base.slowness, usePrevious ? TimePoint{0} : since);
    canary.slowness.clear();  // each window of a streak is compared on samples of its own
    const double canaryP95 = quantile(canaryRatios, 0.95);
    const double fastestSeconds = context.latencies.fastest();
    for (const auto *reference : {&baselineRatios, &interference.referenceSamples()}) {
        if (int(reference->size()) < kMinLatencySamples)
            return std::nullopt;
        const double referenceP95 = quantile(*reference, 0.95);
        if (canaryP95 <= kSlowP95Factor * referenceP95 ||
            (canaryP95 - referenceP95) * fastestSeconds <= toSeconds(kSlowP95Margin))
            return false;
    }
    return slowOnMostEndpoints(base);
}

CanaryAnalyzer::Progress CanaryAnalyzer::compareWindows(VoteSchedule &votes,
                                                        const AnalysisContext &context) {
    const TimePoint now = context.now;
    const bool usePrevious = !baseline.conclusive();
    const SampleWindow &base = usePrevious ? previousBaseline : baseline;
    if (now - windowStart < kMinWindow || !canary.conclusive() || !base.conclusive())
        return Progress::proceed;
    WindowResult result;
    result.moreErrors = failsMore(canary, base, &OutcomeCounts::errors);
    result.slow = compareLatencies(base, usePrevious, context);
    result.moreFailures = failsMore(canary, base, &OutcomeCounts::failures) &&
                          slowOnMostEndpoints(base) &&
                          canary.typicalFailureShare() > kFailureMargin;
    const bool slow = result.slow.value_or(false) || result.moreFailures;
    if (slow && !result.moreErrors && !evenShareActive) {
        startEvenShare(now);
        return Progress::stop;
    }
    updateStreaks(result);
    if (unhealthyStreak >= kUnhealthyWindowsToRollBack) {
        concludeFailed(unhealthyReason, votes, now);
        return Progress::stop;
    }
    if ((result.moreErrors || slow) && votes.desired() == Verdict::promote)
        votes.setDesired(Verdict::none, unhealthyReason, now);
    closeWindow(now);
    return Progress::proceed;
}

void CanaryAnalyzer::updateStreaks(const WindowResult &result) {
    if (result.moreErrors || result.moreFailures || result.slow.value_or(false)) {
        healthyStreak = 0;
        ++unhealthyStreak;
        // "failures" stands for error responses; "time-outs" for failures of any kind on endpoints
        // that are slow as well; "slow" for the p95 alone.
        const char *slowness = result.moreFailures ? "time-outs" : "slow";
        unhealthyReason = result.moreErrors ? "failures" : slowness;
        return;
    }
    ++healthyStreak;
    // A streak due to slowness or timeouts ends only with a window that has enough latency samples
    // to show that the canary is not slow (result.slow is then set, to false). A streak due to
    // error responses ends with any healthy window.
    if (result.slow || unhealthyReason == "failures")
        unhealthyStreak = 0;
}

// Before slowness or timeouts count against the build, the canary is limited to an even share per
// endpoint. Samples so far, and attempts sent within the settling time, are discarded. Keeps
// overloaded canary endpoints from being mistaken for a slow build. Drawback: a slow build is
// detected at least two seconds later, once per build.
void CanaryAnalyzer::startEvenShare(TimePoint now) {
    evenShareActive = true;
    evenShareSince = now;
    messages.emplace_back("canary looks slow: limited to an even share");
    canary = SampleWindow{};
    baseline = SampleWindow{};
    windowStart = now + kMinWindow;
}

// Drops the counts of the closed window. Latency samples are kept, so that their number can reach
// the minimum for a p95; compareLatencies drops the canary's once it has used them.
void CanaryAnalyzer::closeWindow(TimePoint now) {
    if (baseline.conclusive())
        previousBaseline = baseline;
    canary.close();
    baseline.close();
    windowStart = now;
}

CanaryAnalyzer::Progress CanaryAnalyzer::checkInterference(VoteSchedule &votes,
                                                           const AnalysisContext &context) {
    const bool capacityReduced = settings.inPlaceReplacement && context.fleet.anyWarmingUp;
    const auto finding =
        interference.advance(context.canaryShare > 0, capacityReduced, context.now);
    if (finding.message)
        messages.emplace_back(finding.message);
    if (!finding.interferes)
        return Progress::proceed;
    concludeFailed("slows both builds", votes, context.now);
    return Progress::stop;
}

void CanaryAnalyzer::considerPromotion(VoteSchedule &votes, const AnalysisContext &context) const {
    const TimePoint now = context.now;
    const RolloutTracker &rollout = context.rollout;
    if (settings.promotionRule == PromotionRule::timer) {
        const Verdict verdictIfNotUnhealthy = healthyStreak > 0 ? Verdict::none : votes.desired();
        votes.setDesired(unhealthyStreak > 0 ? Verdict::hold : verdictIfNotUnhealthy,
                         unhealthyReason, now);
        return;
    }
    const auto clockStart = rollout.stageClockStart(context.fleet, now);
    if (votes.desired() == Verdict::promote || !clockStart ||
        now < *clockStart + rollout.scaledToStage(kPromotionDelay) || unhealthyStreak > 0 ||
        interference.blocksPromotion(now))
        return;
    if (healthyStreak >= kHealthyWindowsToPromote)
        votes.setDesired(Verdict::promote, "healthy", now);
    else if (failureFreeLongEnough(context))
        votes.setDesired(Verdict::promote, "quiet", now);
}

// The failure-free period covers only what this gateway has observed: one that has started since,
// or that has seen no response of the canary while the fleet is impaired, must not vote to promote.
// Drawback: a restart delays the gateway's vote.
bool CanaryAnalyzer::failureFreeLongEnough(const AnalysisContext &context) const {
    const RolloutTracker &rollout = context.rollout;
    const bool impaired = baseline.failsOften() || context.shedRecently;
    const TimePoint since =
        std::max({rollout.stageStart(), rollout.firstUpdateAt(), lastCanaryFailure});
    return context.now - since >= rollout.scaledToStage(kFailureFreePeriod) &&
           !usage.suspicious() && (!impaired || direct.hasRecentEvidence());
}

}  // namespace deckcart::policy
