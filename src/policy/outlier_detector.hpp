// Health of one endpoint as this gateway sees it: attempts without an answer, ejection and a
// decaying estimate of its latency. The table of endpoints holds one of each per endpoint.
#pragma once

#include <algorithm>
#include <cmath>
#include <deckcart/policy.hpp>

#include "time_window.hpp"

namespace deckcart::policy {

class EndpointHealth {
  public:
    /// Forgets failures and ejection, as of an endpoint that has started anew.
    void reset();
    /// An attempt was answered well.
    void succeeded();
    /// Something came back, be it an error or a rejection.
    void responded() { unansweredInRow = 0; }
    void heardFrom(TimePoint now) { heardAt = now; }
    /// Whether nothing has come from it since then.
    bool silentSince(TimePoint sentAt) const { return heardAt < sentAt; }
    bool ejected(TimePoint now) const { return now < ejectedUntil; }
    /// Whether so many attempts in a row went unanswered that it is taken for dead.
    bool unresponsive() const { return unansweredInRow >= kEjectAfter; }
    /// Counts an attempt without an answer; returns whether it should now be ejected.
    [[nodiscard]] bool recordUnanswered(TimePoint now);
    /// For 1 s, doubled each time in a row, 8 s at most.
    void eject(TimePoint now);

  private:
    static constexpr int kEjectAfter = 2;  // one lost answer may be chance
    int unansweredInRow = 0;
    TimePoint ejectedUntil{};
    Duration ejectedFor{};
    TimePoint heardAt{};
};

/// Whether one more endpoint of a build may be ejected.
bool mayEject(double ejectedOfBuild, double endpointsOfBuild);

// Latency over the route's usual one, decaying to 1.
class LatencyEstimate {
  public:
    void reset() { slowness = 1; }
    double current(TimePoint now) const {
        return 1 + (slowness - 1) * std::exp(-toSeconds(now - measuredAt) / kFadeSeconds);
    }
    void record(double ratio, TimePoint now) {
        slowness = (1 - kGain) * current(now) + kGain * ratio;
        measuredAt = now;
    }
    static constexpr double kFadeSeconds = 4;  // until a figure has mostly faded

  private:
    static constexpr double kGain = 0.25;  // of a new latency
    double slowness = 1;
    TimePoint measuredAt{};
};

}  // namespace deckcart::policy
