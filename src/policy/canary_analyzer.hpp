// Canary analysis: compares the canary with the baseline, by comparison windows and by direct
// evidence, and sets the verdict that the gateway votes for.
#pragma once

#include <deckcart/policy.hpp>
#include <optional>
#include <string>
#include <vector>

#include "direct_evidence.hpp"
#include "fleet_observer.hpp"
#include "interference_detector.hpp"
#include "rollout_tracker.hpp"
#include "route_latencies.hpp"
#include "sample_window.hpp"
#include "usage_comparison.hpp"
#include "vote_schedule.hpp"

namespace deckcart::policy {

/// The result of one attempt that has ended.
struct AttemptSample {
    const EndpointId &endpoint;
    BuildNumber build = 0;
    int route = 0;
    TimePoint sentAt{};
    Outcome outcome = Outcome::ok;
    bool tooYoung = false;  ///< it was sent before the endpoint reached the evidence age
    bool endpointUnresponsive = false;  ///< the endpoint is considered dead, whatever its build
    double slowness = 1;                ///< latency as a multiple of the route's usual latency
    /// Build of the request's previous attempt if that ended in an error.
    std::optional<BuildNumber> previousErrorBuild;
};

/// The state of the gateway's other modules that the analysis depends on.
struct AnalysisContext {
    const RolloutTracker &rollout;
    const FleetSummary &fleet;
    const RouteLatencies &latencies;
    double canaryShare = 0;  ///< fraction of first attempts that go to the canary, 0 to 1
    bool shedRecently = false;
    TimePoint now{};
};

class CanaryAnalyzer {
  public:
    CanaryAnalyzer(const PolicySettings &policySettings, TimePoint now)
        : settings(policySettings), direct(policySettings), windowStart(now) {}

    void recordAttempt(const AttemptSample &sample, const AnalysisContext &context);
    void recordIncorrectResponse(TimePoint now) { direct.recordIncorrectResponse(now); }
    void recordUsage(const UsageReport &report, const AnalysisContext &context);

    /// Starts a new stage, of another build if `otherBuild`: counts and streaks start from zero.
    void beginStage(bool otherBuild, TimePoint now);
    /// Drops samples that have left their time window.
    void expire(TimePoint now);
    /// Drops samples of endpoints for which `known` returns false.
    template <class Known>
    void forgetEndpoints(Known known) {
        for (SampleWindow *window : {&canary, &baseline, &previousBaseline})
            std::erase_if(window->endpoints, [&](const auto &item) { return !known(item.first); });
    }

    /// Compares the builds and updates the verdict in `votes`; returns messages for the log.
    [[nodiscard]] std::vector<std::string> analyze(const AnalysisContext &context,
                                                   VoteSchedule &votes);

    /// Whether the canary has been found bad.
    bool failed() const { return canaryFailed; }
    /// Whether first attempts at the canary are paused.
    bool paused() const { return interference.paused(); }
    /// Whether the canary's share is limited to an even share per endpoint, the first reaction when
    /// it looks slow.
    bool evenShare() const { return evenShareActive; }
    /// Whether the baseline serves most requests. True outside a canary phase; within one, while
    /// the canary gets less than a quarter of the first attempts, the baseline is not slow and no
    /// experiment of the interference detector is running.
    bool baselineServesMost(const AnalysisContext &context) const;

  private:
    // Findings of one window comparison.
    struct WindowResult {
        bool moreErrors = false;    // more error responses than the baseline
        bool moreFailures = false;  // more failures of any kind, on endpoints that are slow as well
        std::optional<bool> slow;   // by the p95; empty: too few latency samples to tell
    };
    enum class Progress { proceed, stop };

    bool isEvidence(const AttemptSample &sample, const AnalysisContext &context) const;
    void recordPair(const AttemptSample &sample, const AnalysisContext &context);
    void recordCanary(const AttemptSample &sample, TimePoint now);
    void recordLatency(const AttemptSample &sample, const AnalysisContext &context,
                       SampleWindow &window);

    void concludeFailed(const std::string &reason, VoteSchedule &votes, TimePoint now);
    Progress checkDirectEvidence(VoteSchedule &votes, TimePoint now);
    Progress checkPooledEvidence(VoteSchedule &votes, TimePoint now);
    Progress compareWindows(VoteSchedule &votes, const AnalysisContext &context);
    Progress checkInterference(VoteSchedule &votes, const AnalysisContext &context);
    void considerPromotion(VoteSchedule &votes, const AnalysisContext &context) const;
    bool failureFreeLongEnough(const AnalysisContext &context) const;

    BaselineCounts baselineCounts() const;
    bool pooledEvidenceAgainstCanary(TimePoint now);
    bool slowOnMostEndpoints(const SampleWindow &base) const;
    std::optional<bool> compareLatencies(const SampleWindow &base, bool usePrevious,
                                         const AnalysisContext &context);
    void updateStreaks(const WindowResult &result);
    void startEvenShare(TimePoint now);
    void closeWindow(TimePoint now);

    const PolicySettings &settings;
    DirectEvidence direct;
    UsageComparison usage;
    InterferenceDetector interference;
    SampleWindow canary;
    SampleWindow baseline;
    SampleWindow previousBaseline;
    TimePoint windowStart{};
    int healthyStreak = 0;
    int unhealthyStreak = 0;
    std::string unhealthyReason;
    TimePoint lastCanaryFailure{};
    TimePoint pooledRollBackUntil{};  // the pooled evidence's vote to roll back stands until then
    bool canaryFailed = false;
    bool evenShareActive = false;
    TimePoint evenShareSince{};
    std::vector<std::string> messages;
};

}  // namespace deckcart::policy
