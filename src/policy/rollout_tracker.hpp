// State of the rollout as known to a gateway: the furthest stage of the newest build, the latest
// update, the start of the stage, and the resulting exposure limits.
#pragma once

#include <deckcart/policy.hpp>
#include <optional>

#include "fleet_observer.hpp"
#include "time_window.hpp"

namespace deckcart::policy {

/// What an update has changed: nothing, the stage of the same build, or the build.
enum class RolloutChange { none, stage, build };

class RolloutTracker {
  public:
    explicit RolloutTracker(const PolicySettings &policySettings) : settings(policySettings) {}

    /// Applies an update and returns what has changed.
    [[nodiscard]] RolloutChange update(const RolloutUpdate &update, TimePoint now);
    /// The oldest build with an active endpoint; empty while there is none.
    void setOldestActive(std::optional<BuildNumber> build) { oldestActive = build; }

    /// Whether any update has arrived since the start.
    bool known() const { return received; }
    /// The furthest stage of the newest build.
    const RolloutUpdate &current() const { return furthest; }
    /// When the furthest stage began.
    TimePoint stageStart() const { return stageStartedAt; }
    /// When the first update arrived.
    TimePoint firstUpdateAt() const { return firstUpdateReceivedAt; }
    /// The last build that was rolled back; 0 if none was.
    BuildNumber rolledBackBuild() const { return rolledBack; }
    bool inPhase(RolloutPhase phase) const { return received && furthest.phase == phase; }
    /// Whether outcomes can still affect the build: it is a canary or released.
    bool underAnalysis() const {
        return inPhase(RolloutPhase::canary) || inPhase(RolloutPhase::released);
    }
    /// Whether the build is released and no older build has an active endpoint.
    bool completed() const {
        return inPhase(RolloutPhase::released) && oldestActive == furthest.build;
    }
    /// Whether the build is not released as far as this gateway knows. Before the first update:
    /// whether it is newer than the oldest build with an active endpoint.
    bool isCanary(BuildNumber build) const;

    /// Whether the exposure limit applies to the build. Of the furthest stage and the latest
    /// update, the stricter one counts.
    bool limited(BuildNumber build) const;
    /// The fraction of the received requests that a limited build may get, 0 to 1.
    double exposureLimit(BuildNumber build) const;
    /// The stage of the build, from 0: the lower one of the furthest stage and the latest update.
    int step(BuildNumber build) const;
    /// The fraction of the endpoints that run the build in this stage, 0 to 1.
    double stageShare() const;

    /// Scales a wait down where stages are shorter than the reference duration; otherwise no good
    /// build could be released before the next one is due. Drawback: less evidence in each stage.
    Duration scaledToStage(Duration wait) const;
    /// The estimated start of the stage's clock, from the endpoint list; empty while endpoints are
    /// missing.
    std::optional<TimePoint> stageClockStart(const FleetSummary &fleet, TimePoint now) const;

  private:
    const PolicySettings &settings;
    bool received = false;
    RolloutUpdate furthest;
    RolloutUpdate latest;  // may belong to an older stage or build
    TimePoint stageStartedAt{};
    TimePoint firstUpdateReceivedAt{};
    BuildNumber rolledBack = 0;
    std::optional<BuildNumber> oldestActive;
};

}  // namespace deckcart::policy
