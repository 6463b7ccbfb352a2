// The steps of canary analysis.
#include "canary_analyzer.hpp"

#include <algorithm>
#include <utility>

#include "deployment_size.hpp"
#include "outcomes.hpp"
#include "statistics.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

// A window lasts so long at least, so that both builds are seen at the same time.
constexpr Duration kLeastWindow = 1s;
// Latencies that a p95 rests on at least.
constexpr int kLeastLatencies = 50;
// Windows in a row: one may be chance, and a roll back is dearer to miss than a promotion.
constexpr int kHealthyStreak = 3;
constexpr int kUnhealthyStreak = 2;
// So long without a failure of the canary promotes where windows are few.
constexpr Duration kQuiet = 5s;
// p95, not 1.5: at high load a build one tenth slower queues twice as long.
constexpr double kSlowRatio = 2;
// A p95 must also be higher by this: fast routes vary more.
constexpr Duration kSlowMargin = 20ms;
// Latencies are kept this long to find the least count.
constexpr Duration kLatencyWindow = 10s;
// A build is slow on most of its endpoints by this much, not on one.
constexpr double kSlowOnMost = 1.6;
// A promotion 2 s after the stage's clock has started; half more as we guess it.
constexpr Duration kPromotionWait = 2500ms;
// Slower by this factor, and by so many standard errors: no quiet; a roll back.
constexpr double kPooledSlow = 1.4;
constexpr double kPooledErrorsToHold = 1;
constexpr double kPooledErrorsToRollBack = 2;
// The canary's share of first attempts under which the baseline bears about all the requests.
constexpr double kSmallCanaryShare = 0.25;

}  // namespace

bool CanaryAnalyzer::baselineFullyLoaded(const AnalysisContext &context) const {
    if (!context.rollout.inPhase(RolloutPhase::canary))
        return true;
    return interference.quiet() && context.canaryShare < kSmallCanaryShare;
}

// Whether the attempt says anything about its build.
bool CanaryAnalyzer::tells(const AttemptSample &sample, const AnalysisContext &context) const {
    // What can't be read is a connection's fault, of either build alike.
    if (provesNotRun(sample.outcome) || sample.outcome == Outcome::malformed)
        return false;
    if (!context.rollout.underAnalysis())
        return false;
    // Of one that was rolled back before this one came: neither the canary nor its baseline. Guards
    // against its late failures hiding the next one's. Harm: none seen.
    if (sample.build < context.rollout.current().build &&
        sample.build == context.rollout.rolledBackBuild())
        return false;
    // An endpoint that answers nothing has a fault of its own: its silence tells nothing of the
    // build.
    return !isFailure(sample.outcome) || sample.outcome == Outcome::error ||
           !sample.endpointUnresponsive;
}

void CanaryAnalyzer::recordAttempt(const AttemptSample &sample, const AnalysisContext &context) {
    if (!tells(sample, context))
        return;
    const TimePoint now = context.now;
    const BuildNumber newest = context.rollout.current().build;
    const bool ofCanary = sample.build == newest;
    SampleWindow &window = ofCanary ? canary : baseline;
    // An attempt cut short took at least so long; or a slow build's slowest answers would not
    // count.
    const bool cutShort =
        sample.outcome == Outcome::cancelled || sample.outcome == Outcome::timeout;
    const bool counts = sample.build <= newest && !sample.warmingUp && !sample.endpointUnresponsive;
    if (cutShort && counts && sample.slowness > 1 && settings.votesToRollBack >= kPooledVotes)
        window.slowness.push_back({now, sample.slowness});
    if (sample.outcome == Outcome::cancelled)
        return;
    recordPair(sample, context);
    if (ofCanary)
        recordCanary(sample, now);
    if (sample.warmingUp || sample.build > newest ||
        (sharesEvenly && sample.sentAt < sharesEvenlySince + kLeastWindow))
        return;
    window.add(sample.route, sample.endpoint, isFailure(sample.outcome),
               sample.outcome == Outcome::error, sample.slowness);
    if (sample.outcome == Outcome::ok)
        recordLatency(sample, context, window);
}

void CanaryAnalyzer::recordPair(const AttemptSample &sample, const AnalysisContext &context) {
    if (sample.outcome != Outcome::ok || !sample.errorBefore || *sample.errorBefore == sample.build)
        return;
    const BuildNumber newest = context.rollout.current().build;
    if (*sample.errorBefore == newest)
        direct.recordFailedOnCanary(context.now);
    else if (sample.build == newest)
        direct.recordFailedOnBaseline();
}

void CanaryAnalyzer::recordCanary(const AttemptSample &sample, TimePoint now) {
    const bool error = sample.outcome == Outcome::error;
    // One of many has no window to tell by that the baseline loses as well. Harm: where both are
    // bad.
    const bool allLose = hasManyGateways(settings) && baseline.losesMany();
    if (isFailure(sample.outcome) && (!sample.warmingUp || error) && !allLose)
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
    // A build that was released a while ago is the next one's baseline.
    if (&window == &canary &&
        (rollout.isCanary(sample.build) || now - rollout.stageBegan() <= kLatencyWindow))
        return;
    interference.recordBaseline(sample.slowness, now);
    // Kept from before the canary if there were enough: it may slow the others early.
    if (baselineFullyLoaded(context) &&
        (!rollout.isCanary(rollout.current().build) || interference.needsFullLoadSamples()))
        interference.recordFullLoad(sample.slowness);
}

void CanaryAnalyzer::recordUsage(const UsageReport &report, const AnalysisContext &context) {
    const RolloutTracker &rollout = context.rollout;
    if (!rollout.known() || report.age > context.now - rollout.stageBegan() ||
        report.build > rollout.current().build)
        return;
    usage.record(report, report.build == rollout.current().build);
}

void CanaryAnalyzer::beginStage(bool otherBuild, TimePoint now) {
    if (otherBuild) {
        canaryFailed = false;
        sharesEvenly = false;
        previousBaseline = SampleWindow{};
        direct.reset();
        pooledUntil = TimePoint{0};
    }
    interference.reset();
    closeWindow(now);
    for (SampleWindow *window : {&canary, &baseline}) {
        // The latest latencies stay, but for a new build.
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
    if (checkDirectEvidence(votes, context.now) == Progress::goOn &&
        checkPooledEvidence(votes, context.now) == Progress::goOn &&
        compareWindows(votes, context) == Progress::goOn &&
        context.rollout.inPhase(RolloutPhase::canary) &&
        checkInterference(votes, context) == Progress::goOn)
        considerPromotion(votes, context);
    return std::exchange(messages, {});
}

void CanaryAnalyzer::concludeFailed(const std::string &reason, VoteSchedule &votes, TimePoint now) {
    canaryFailed = true;
    votes.want(Verdict::rollBack, reason, now);
}

CanaryAnalyzer::Progress CanaryAnalyzer::checkDirectEvidence(VoteSchedule &votes, TimePoint now) {
    if (direct.incorrect())
        concludeFailed("wrong answers", votes, now);
    else if (direct.pairsFail(baselineLosses()))
        concludeFailed("pairs", votes, now);
    else if (usage.canaryFails())
        concludeFailed("counts", votes, now);
    return canaryFailed ? Progress::stop : Progress::goOn;
}

CanaryAnalyzer::Progress CanaryAnalyzer::checkPooledEvidence(VoteSchedule &votes, TimePoint now) {
    if (settings.votesToRollBack >= kPooledVotes && pooledDoubts(now))
        pooledUntil = now + settings.voteLifetime;
    if (now < pooledUntil) {
        votes.want(Verdict::rollBack, "pooled doubts", now);
        return Progress::stop;
    }
    if (votes.wanted() == Verdict::rollBack)
        votes.want(Verdict::none, "doubts gone", now);
    return Progress::goOn;
}

BaselineLosses CanaryAnalyzer::baselineLosses() const {
    const auto both = [&](double OutcomeCounts::*what) {
        return baseline.sum(what) + previousBaseline.sum(what);
    };
    return {both(&OutcomeCounts::attempts), both(&OutcomeCounts::failures),
            both(&OutcomeCounts::errors)};
}

// Exception where many votes are needed to roll back: one gateway of hundreds has no window in
// time, so its vote may rest on the last vote life's few answers and lapses with them; the votes
// are the least count. Covers errors, incorrect responses, slowness. Harm: where votes needed are
// many but of few of the gateways.
bool CanaryAnalyzer::pooledDoubts(TimePoint now) {
    if (direct.recentlyBad(baselineLosses()))
        return true;
    const auto ours = valuesSince(canary.slowness, now - kLatencyWindow);
    const auto theirs = valuesSince(baseline.slowness, now - kLatencyWindow);
    const double errors = std::min(
        standardErrorsSlower(ours, theirs, kPooledSlow, kPooledLeast),
        standardErrorsSlower(ours, interference.fullLoadSamples(), kPooledSlow, kPooledLeast));
    if (errors > kPooledErrorsToHold)
        lastCanaryFailure = now;  // a stretch with slow answers is not quiet
    return errors > kPooledErrorsToRollBack;
}

// Exception: time-outs and resets alone are no build's failures unless it is slow on most of its
// endpoints: guards against dying, silent or crowded ones. Harm: a build that drops requests
// without a word.
bool CanaryAnalyzer::slowOnMost(const SampleWindow &base) const {
    return canary.typicalSlowness() > kSlowOnMost * base.typicalSlowness();
}

// The design's p95 comparison. Exception: at late stages the canary's endpoints bear more and queue
// more, so it must also be slower than the baseline under full load, and slow on most of its
// endpoints. Guards against load, a neighbour or a pause taken for the build. Harm: a fleet slow
// before. Empty: too few latencies to tell.
std::optional<bool> CanaryAnalyzer::slower(const SampleWindow &base, bool previous,
                                           const AnalysisContext &context) {
    if (int(canary.slowness.size()) < kLeastLatencies)
        return std::nullopt;
    // Of the same time: what slowed both a while ago must not stay in the older, fewer answers. At
    // a late stage the baseline has few of them: it is reached back for as many, within the
    // latencies' window.
    TimePoint since = (canary.slowness.end() - kLeastLatencies)->at;
    if (!previous && int(base.slowness.size()) >= kLeastLatencies)
        since = std::max(context.now - kLatencyWindow,
                         std::min(since, (base.slowness.end() - kLeastLatencies)->at));
    const auto ours = valuesSince(canary.slowness, since);
    const auto theirs = valuesSince(base.slowness, previous ? TimePoint{0} : since);
    canary.slowness.clear();  // the next window of a streak is compared on answers of its own
    const double p95 = quantile(ours, 0.95);
    const double unit = context.latencies.fastest();
    for (const auto *reference : {&theirs, &interference.fullLoadSamples()}) {
        if (int(reference->size()) < kLeastLatencies)
            return std::nullopt;
        const double other = quantile(*reference, 0.95);
        if (p95 <= kSlowRatio * other || (p95 - other) * unit <= toSeconds(kSlowMargin))
            return false;
    }
    return slowOnMost(base);
}

CanaryAnalyzer::Progress CanaryAnalyzer::compareWindows(VoteSchedule &votes,
                                                        const AnalysisContext &context) {
    const TimePoint now = context.now;
    const bool previous = !baseline.conclusive();
    const SampleWindow &base = previous ? previousBaseline : baseline;
    if (now - windowBegan < kLeastWindow || !canary.conclusive() || !base.conclusive())
        return Progress::goOn;
    WindowResult result;
    result.errors = failsMore(canary, base, &OutcomeCounts::errors);
    result.slow = slower(base, previous, context);
    result.lost = failsMore(canary, base, &OutcomeCounts::failures) && slowOnMost(base) &&
                  canary.typicalFailureShare() > kFailureMargin;
    const bool slow = result.slow.value_or(false) || result.lost;
    if (slow && !result.errors && !sharesEvenly) {
        shareEvenly(now);
        return Progress::stop;
    }
    updateStreaks(result);
    if (unhealthyStreak >= kUnhealthyStreak) {
        concludeFailed(unhealthyReason, votes, now);
        return Progress::stop;
    }
    if ((result.errors || slow) && votes.wanted() == Verdict::promote)
        votes.want(Verdict::none, unhealthyReason, now);
    closeWindow(now);
    return Progress::goOn;
}

void CanaryAnalyzer::updateStreaks(const WindowResult &result) {
    if (result.errors || result.lost || result.slow.value_or(false)) {
        healthyStreak = 0;
        ++unhealthyStreak;
        const char *slowness = result.lost ? "time-outs" : "slow";
        unhealthyReason = result.errors ? "failures" : slowness;
        return;
    }
    ++healthyStreak;
    // Without enough latencies a streak of slow windows stands.
    if (result.slow || unhealthyReason == "failures")
        unhealthyStreak = 0;
}

// Exception before slowness or time-outs are blamed on the build: an even share for each endpoint
// first, what was sent before left out. Guards against crowded canary endpoints. Harm: a second or
// two of a slow build.
void CanaryAnalyzer::shareEvenly(TimePoint now) {
    sharesEvenly = true;
    sharesEvenlySince = now;
    messages.emplace_back("eased: trial slow, even share first");
    canary = SampleWindow{};
    baseline = SampleWindow{};
    windowBegan = now + kLeastWindow;
}

// A closed window's counts are dropped; the latencies stay, so that the p95 has its least count.
void CanaryAnalyzer::closeWindow(TimePoint now) {
    if (baseline.conclusive())
        previousBaseline = baseline;
    canary.close();
    baseline.close();
    windowBegan = now;
}

CanaryAnalyzer::Progress CanaryAnalyzer::checkInterference(VoteSchedule &votes,
                                                           const AnalysisContext &context) {
    const bool fleetShort = settings.inPlaceReplacement && context.fleet.anyWarmingUp;
    const auto finding = interference.advance(context.canaryShare > 0, fleetShort, context.now);
    if (finding.message)
        messages.emplace_back(finding.message);
    if (!finding.interferes)
        return Progress::goOn;
    concludeFailed("slows both builds", votes, context.now);
    return Progress::stop;
}

void CanaryAnalyzer::considerPromotion(VoteSchedule &votes, const AnalysisContext &context) const {
    const TimePoint now = context.now;
    const RolloutTracker &rollout = context.rollout;
    if (settings.promotionRule == PromotionRule::timer) {
        const Verdict unlessUnhealthy = healthyStreak > 0 ? Verdict::none : votes.wanted();
        votes.want(unhealthyStreak > 0 ? Verdict::hold : unlessUnhealthy, unhealthyReason, now);
        return;
    }
    const auto clock = rollout.clockStart(context.fleet, now);
    if (votes.wanted() == Verdict::promote || !clock ||
        now < *clock + rollout.paced(kPromotionWait) || unhealthyStreak > 0 ||
        interference.blocksPromotion(now))
        return;
    if (healthyStreak >= kHealthyStreak)
        votes.want(Verdict::promote, "healthy", now);
    else if (quietLongEnough(context))
        votes.want(Verdict::promote, "quiet", now);
}

// Quiet is what this gateway has observed. Guards against a promotion by one that has started
// since, or has seen no answer of the canary in a rough time. Harm: a restart delays its vote.
bool CanaryAnalyzer::quietLongEnough(const AnalysisContext &context) const {
    const RolloutTracker &rollout = context.rollout;
    const bool rough = baseline.losesMany() || context.shedRecently;
    const TimePoint since =
        std::max({rollout.stageBegan(), rollout.firstHeard(), lastCanaryFailure});
    return context.now - since >= rollout.paced(kQuiet) && !usage.suspicious() &&
           (!rough || direct.anyRecent());
}

}  // namespace deckcart::policy
