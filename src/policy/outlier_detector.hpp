// Health of one endpoint as seen by this gateway: unanswered attempts, ejection, and a decaying
// estimate of its latency. The endpoint table holds one of each per endpoint.
#pragma once

#include <algorithm>
#include <cmath>
#include <deckcart/policy.hpp>

#include "time_window.hpp"

namespace deckcart::policy {

class EndpointHealth {
  public:
    /// Clears failures and ejection, for an endpoint that has restarted.
    void reset();
    /// Records a successful response.
    void succeeded();
    /// Records a response of any kind, including errors and rejections.
    void responded() { consecutiveUnanswered = 0; }
    /// Sets the time of the last response.
    void setLastResponse(TimePoint now) { lastResponseAt = now; }
    /// Whether there has been no response since the given time.
    bool silentSince(TimePoint sentAt) const { return lastResponseAt < sentAt; }
    bool ejected(TimePoint now) const { return now < ejectedUntil; }
    /// Whether so many consecutive attempts went unanswered that the endpoint is considered dead.
    bool unresponsive() const { return consecutiveUnanswered >= kUnansweredToEject; }
    /// Counts an unanswered attempt; returns whether the endpoint should now be ejected.
    [[nodiscard]] bool recordUnanswered(TimePoint now);
    /// Ejects the endpoint for 1 s, doubled on each consecutive ejection up to 8 s.
    void eject(TimePoint now);

  private:
    // Consecutive unanswered attempts before an ejection; a single lost response may be chance.
    static constexpr int kUnansweredToEject = 2;
    int consecutiveUnanswered = 0;
    TimePoint ejectedUntil{};
    Duration ejectedFor{};
    TimePoint lastResponseAt{};
};

/// Whether one more endpoint of the build may be ejected.
bool mayEject(double ejectedOfBuild, double endpointsOfBuild);

/// Latency as a multiple of the route's usual latency, decaying to 1.
class LatencyEstimate {
  public:
    void reset() { slowness = 1; }
    double current(TimePoint now) const {
        return 1 + (slowness - 1) * std::exp(-toSeconds(now - measuredAt) / kDecaySeconds);
    }
    /// Adds a latency, as a multiple of the usual one.
    void record(double ratio, TimePoint now) {
        slowness = (1 - kGain) * current(now) + kGain * ratio;
        measuredAt = now;
    }
    static constexpr double kDecaySeconds = 4;  ///< time constant of the decay

  private:
    static constexpr double kGain = 0.25;  // weight of a new sample
    double slowness = 1;
    TimePoint measuredAt{};
};

}  // namespace deckcart::policy
