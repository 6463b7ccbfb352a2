// Canary analysis: compares the canary with the baseline, window by window and by direct evidence,
// and sets the verdict that the gateway votes for.
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

// An attempt that has ended.
struct AttemptSample {
    const EndpointId &endpoint;
    BuildNumber build = 0;
    int route = 0;
    TimePoint sentAt{};
    Outcome outcome = Outcome::ok;
    bool warmingUp = false;                  // the endpoint was too young for evidence
    bool endpointUnresponsive = false;       // its silence tells nothing of the build
    double slowness = 1;                     // time taken over the route's usual latency
    std::optional<BuildNumber> errorBefore;  // where the request's last attempt met an error
};

// What else the analysis looks at, as of now.
struct AnalysisContext {
    const RolloutTracker &rollout;
    const FleetSummary &fleet;
    const RouteLatencies &latencies;
    double canaryShare = 0;  // of the first attempts
    bool shedRecently = false;
    TimePoint now{};
};

class CanaryAnalyzer {
  public:
    CanaryAnalyzer(const PolicySettings &policySettings, TimePoint now)
        : settings(policySettings), direct(policySettings), windowBegan(now) {}

    void recordAttempt(const AttemptSample &sample, const AnalysisContext &context);
    void recordIncorrectResponse(TimePoint now) { direct.recordIncorrectResponse(now); }
    void recordUsage(const UsageReport &report, const AnalysisContext &context);

    /// A stage has begun; of another build if `otherBuild`. Streaks begin anew.
    void beginStage(bool otherBuild, TimePoint now);
    /// Drops samples that are too old.
    void expire(TimePoint now);
    /// Drops samples of endpoints for which `known` doesn't hold.
    template <class Known>
    void forgetEndpoints(Known known) {
        for (SampleWindow *window : {&canary, &baseline, &previousBaseline})
            std::erase_if(window->endpoints, [&](const auto &item) { return !known(item.first); });
    }

    /// One analysis; returns messages for the log.
    [[nodiscard]] std::vector<std::string> analyze(const AnalysisContext &context,
                                                   VoteSchedule &votes);

    /// Whether the build has been found bad.
    bool failed() const { return canaryFailed; }
    /// Whether first attempts at the canary are paused.
    bool paused() const { return interference.paused(); }
    /// Whether the canary gets an even share for each endpoint, as a first answer to its slowness.
    bool evenShare() const { return sharesEvenly; }
    /// Whether the baseline bears about all that the fleet gets.
    bool baselineFullyLoaded(const AnalysisContext &context) const;

  private:
    // What the window comparison saw.
    struct WindowResult {
        bool errors = false;
        bool lost = false;
        std::optional<bool> slow;  // empty: too few latencies to tell
    };
    enum class Progress { goOn, stop };

    bool tells(const AttemptSample &sample, const AnalysisContext &context) const;
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
    bool quietLongEnough(const AnalysisContext &context) const;

    BaselineLosses baselineLosses() const;
    bool pooledDoubts(TimePoint now);
    bool slowOnMost(const SampleWindow &base) const;
    std::optional<bool> slower(const SampleWindow &base, bool previous,
                               const AnalysisContext &context);
    void updateStreaks(const WindowResult &result);
    void shareEvenly(TimePoint now);
    void closeWindow(TimePoint now);

    const PolicySettings &settings;
    DirectEvidence direct;
    UsageComparison usage;
    InterferenceDetector interference;
    SampleWindow canary;
    SampleWindow baseline;
    SampleWindow previousBaseline;
    TimePoint windowBegan{};
    int healthyStreak = 0;
    int unhealthyStreak = 0;
    std::string unhealthyReason;
    TimePoint lastCanaryFailure{};
    TimePoint pooledUntil{};  // pooled doubts hold until then
    bool canaryFailed = false;
    bool sharesEvenly = false;
    TimePoint sharesEvenlySince{};
    std::vector<std::string> messages;
};

}  // namespace deckcart::policy
