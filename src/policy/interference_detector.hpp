// Finds a canary that slows the baseline as well, by an experiment: its traffic is paused, and
// resumed if that helps.
#pragma once

#include <deckcart/policy.hpp>
#include <vector>

#include "time_window.hpp"

namespace deckcart::policy {

class InterferenceDetector {
  public:
    struct Finding {
        bool interferes = false;        // the canary slows both builds
        const char *message = nullptr;  // for the log, if anything has changed
    };

    /// Slowness of an answer of the baseline.
    void recordBaseline(double ratio, TimePoint now) { recent.push_back({now, ratio}); }
    /// Likewise, while the baseline bears about all the requests.
    void recordFullLoad(double ratio);
    /// Whether there is too little of that from before the canary: it may slow the others early.
    bool needsFullLoadSamples() const { return fullLoad.size() < kFullLoadSamples / 2; }
    void expire(TimePoint now);
    /// A stage has begun.
    void reset();

    /// Exception for a build that slows the baseline too, in step with its traffic: when the
    /// baseline's median has left its full-load figure, first attempts at the canary stop; if that
    /// helps they resume, and if the slowness then returns the build is blamed, else cleared.
    /// Covers shared stores, caches, locks; a shared slowdown or burst is not cured by a pause.
    /// Harm: a good build waits if one ends then. `canaryGetsTraffic`: there is something to pause.
    /// `fleetShort`: endpoints that are replaced in place are missed until their successors are
    /// warm: that alone slows the rest.
    [[nodiscard]] Finding advance(bool canaryGetsTraffic, bool fleetShort, TimePoint now);

    bool paused() const { return state == State::paused; }
    bool quiet() const { return state == State::watching && slowSince == TimePoint{0}; }
    bool blocksPromotion(TimePoint now) const {
        return state != State::watching || (slowSince != TimePoint{0} && now >= clearUntil);
    }
    /// The baseline's slowness under full load.
    const std::vector<double> &fullLoadSamples() const { return fullLoad; }

  private:
    enum class State { watching, paused, resumed };
    Finding enter(State next, const char *message, TimePoint now);
    Finding duringPause(double slowness, TimePoint now);
    Finding afterPause(double slowness, bool lasting, TimePoint now);
    bool mostExcessGone(double slowness) const;

    // Samples under full load that are kept: enough for a p95, some seconds of a small gateway.
    static constexpr std::size_t kFullLoadSamples = 200;
    TimedValues recent;
    std::vector<double> fullLoad;
    State state = State::watching;
    TimePoint enteredAt{};
    TimePoint slowSince{};   // 0: not slow
    TimePoint clearUntil{};  // no new pause before
    double slownessAtPause = 0;
};

}  // namespace deckcart::policy
