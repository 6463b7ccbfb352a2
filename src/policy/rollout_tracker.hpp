// What a gateway knows of the rollout: the furthest stage of the newest build, the update received
// last, when the stage began, and what the exposure rule makes of it.
#pragma once

#include <deckcart/policy.hpp>
#include <optional>

#include "fleet_observer.hpp"
#include "time_window.hpp"

namespace deckcart::policy {

enum class RolloutChange { none, stage, build };

class RolloutTracker {
  public:
    explicit RolloutTracker(const PolicySettings &policySettings) : settings(policySettings) {}

    /// Takes up an update and returns what it has changed.
    [[nodiscard]] RolloutChange update(const RolloutUpdate &update, TimePoint now);
    /// The oldest build of the endpoint list; empty while none is listed.
    void setOldestListed(std::optional<BuildNumber> build) { oldestListed = build; }

    /// Whether any update has come since the start.
    bool known() const { return received; }
    /// The furthest stage of the newest build.
    const RolloutUpdate &current() const { return furthest; }
    TimePoint stageBegan() const { return began; }
    /// Since when this gateway knows of any stage.
    TimePoint firstHeard() const { return heardSince; }
    /// The last build that was rolled back; 0 if none was.
    BuildNumber rolledBackBuild() const { return rolledBack; }
    bool inPhase(RolloutPhase phase) const { return received && furthest.phase == phase; }
    /// Whether outcomes of the build may still matter: it is a canary or released.
    bool underAnalysis() const {
        return inPhase(RolloutPhase::canary) || inPhase(RolloutPhase::released);
    }
    /// Whether the released build is the oldest that is listed.
    bool completed() const {
        return inPhase(RolloutPhase::released) && oldestListed == furthest.build;
    }
    bool isCanary(BuildNumber build) const;

    /// Whether the exposure rule limits the build. For the rules the stricter of the furthest stage
    /// and the last update counts.
    bool limited(BuildNumber build) const;
    /// The part of the accepted requests that a limited build may get.
    double exposureLimit(BuildNumber build) const;
    int step(BuildNumber build) const;
    /// The part of the endpoints that run the build at this stage.
    double stageShare() const;

    /// Exception where the platform's stages are shorter than those that the waits were tuned for:
    /// they shrink alike, or no good build could be released before the next is due. Harm: less
    /// evidence on each stage.
    Duration paced(Duration wait) const;
    /// When the clock of the stage has started, as far as the list tells; empty while endpoints are
    /// missing.
    std::optional<TimePoint> clockStart(const FleetSummary &fleet, TimePoint now) const;

  private:
    const PolicySettings &settings;
    bool received = false;
    RolloutUpdate furthest;
    RolloutUpdate latest;  // may be of an older stage or build
    TimePoint began{};
    TimePoint heardSince{};
    BuildNumber rolledBack = 0;
    std::optional<BuildNumber> oldestListed;
};

}  // namespace deckcart::policy
