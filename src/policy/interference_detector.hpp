// Detects a canary that slows the baseline as well, by an experiment: the canary's traffic is
// paused, and resumed to see whether the slowness follows.
#pragma once

#include <deckcart/policy.hpp>
#include <vector>

#include "time_window.hpp"

namespace deckcart::policy {

class InterferenceDetector {
  public:
    struct Finding {
        bool interferes = false;        ///< the canary slows both builds
        const char *message = nullptr;  ///< for the log; null if the state has not changed
    };

    /// Records the latency of a baseline response, as a multiple of the route's usual latency.
    void recordBaseline(double ratio, TimePoint now) { recent.push_back({now, ratio}); }
    /// Same, for a response given while the baseline served most requests
    /// (CanaryAnalyzer::baselineServesMost): the reference that later slowness is measured by.
    void recordReference(double ratio);
    /// Whether there are too few reference samples. Only then are some taken while a canary gets
    /// traffic, since it may slow the baseline from its first requests on.
    bool needsReferenceSamples() const { return reference.size() < kMaxReferenceSamples / 2; }
    void expire(TimePoint now);
    /// Starts a new stage.
    void reset();

    /// Advances the experiment. When the baseline's median latency rises above the median of the
    /// reference samples, first attempts at the canary are paused. If that helps, they resume; if
    /// the slowness then returns, the canary is at fault, otherwise it is cleared. Covers shared
    /// stores, caches and locks; a slowdown or burst of other origin does not end with the pause.
    /// Drawback: a good build waits if such a slowdown happens to end during the pause.
    /// `canaryGetsTraffic`: there is traffic to pause. `capacityReduced`: endpoints are being
    /// replaced in place and their successors still warm up, which alone slows the rest.
    [[nodiscard]] Finding advance(bool canaryGetsTraffic, bool capacityReduced, TimePoint now);

    bool paused() const { return state == State::paused; }
    /// Whether no experiment is running and the baseline is not slow.
    bool idle() const { return state == State::watching && slowSince == TimePoint{0}; }
    /// Whether the canary must not be promoted: an experiment is running or about to start.
    bool blocksPromotion(TimePoint now) const {
        return state != State::watching || (slowSince != TimePoint{0} && now >= noPauseBefore);
    }
    /// Latencies of the baseline while it served most requests, as multiples of the usual latency.
    const std::vector<double> &referenceSamples() const { return reference; }

  private:
    enum class State { watching, paused, resumed };
    Finding transitionTo(State next, const char *message, TimePoint now);
    Finding advancePaused(double slowness, TimePoint now);
    Finding advanceResumed(double slowness, bool sustained, TimePoint now);
    bool mostExcessGone(double slowness) const;

    // Maximum number of reference samples: enough for a p95, and some seconds of traffic at a
    // small gateway.
    static constexpr std::size_t kMaxReferenceSamples = 200;
    TimedValues recent;
    std::vector<double> reference;
    State state = State::watching;
    TimePoint stateSince{};
    TimePoint slowSince{};      // 0: the baseline is not slow
    TimePoint noPauseBefore{};  // no new pause before this time
    double slownessAtPause = 0;
};

}  // namespace deckcart::policy
