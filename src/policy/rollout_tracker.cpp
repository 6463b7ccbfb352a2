// Stages, exposure limits and stage clock of the rollout.
#include "rollout_tracker.hpp"

#include <algorithm>
#include <cstddef>

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

// Updates arrive with less delay than this. An update to an earlier stage that arrives later than
// this after the stage's start means that the stage is offered again.
constexpr Duration kMaxUpdateDelay = 8s;
// The platform starts the clock of a stage this much later than the last endpoint of the stage,
// since it learns of the endpoint later.
constexpr Duration kStageClockDelay = 1s;
// If endpoints of the stage are still missing this long after its start, the clock is taken to have
// started then.
constexpr Duration kMaxEndpointWait = 8s;
// The waits of a stage are meant for a minimum stage duration of this; shorter stages scale them
// down.
constexpr Duration kReferenceStageDuration = 1500ms;
// Half an endpoint of tolerance: the stage's share need not be a whole number of endpoints.
constexpr double kHalfEndpoint = 0.5;

// Order of the phases; a build never goes back to an earlier one.
int phaseOrder(RolloutPhase phase) {
    switch (phase) {
    case RolloutPhase::canary:
        return 0;
    case RolloutPhase::released:
        return 1;
    case RolloutPhase::rollingBack:
        return 2;
    case RolloutPhase::rolledBack:
        return 3;
    }
    return 0;
}

bool precedes(const RolloutUpdate &left, const RolloutUpdate &right) {
    if (left.phase != right.phase)
        return phaseOrder(left.phase) < phaseOrder(right.phase);
    return left.step < right.step;
}

}  // namespace

RolloutChange RolloutTracker::update(const RolloutUpdate &update, TimePoint now) {
    latest = update;
    if (received && update.build < furthest.build)
        return RolloutChange::none;
    const bool otherBuild = !received || update.build != furthest.build;
    const bool changed =
        otherBuild || update.step != furthest.step || update.phase != furthest.phase;
    if (!received)
        firstUpdateReceivedAt = now;
    received = true;
    // Ignores an outdated update, such as a vote reply that was overtaken by a later update: the
    // previous stage must not return with its limit and its streaks. Drawback: a build number that
    // is offered again is mistaken for an old update for some seconds.
    if (!otherBuild && precedes(update, furthest) && now < stageStartedAt + kMaxUpdateDelay)
        return RolloutChange::none;
    furthest = update;
    if (!changed)
        return RolloutChange::none;
    stageStartedAt = now - update.age;
    if (update.phase == RolloutPhase::rollingBack || update.phase == RolloutPhase::rolledBack)
        rolledBack = update.build;
    return otherBuild ? RolloutChange::build : RolloutChange::stage;
}

bool RolloutTracker::isCanary(BuildNumber build) const {
    if (!received)
        return oldestActive && build > *oldestActive;
    return build > furthest.build ||
           (build == furthest.build && furthest.phase != RolloutPhase::released);
}

bool RolloutTracker::limited(BuildNumber build) const {
    return isCanary(build) || (build == furthest.build &&
                               (latest.build < build || latest.phase != RolloutPhase::released));
}

double RolloutTracker::exposureLimit(BuildNumber build) const {
    const double first = settings.exposureLimits.empty() ? 0 : settings.exposureLimits.front();
    if (!received || build != furthest.build)
        return first;
    return std::min(furthest.exposureLimit, latest.build == build ? latest.exposureLimit : first);
}

int RolloutTracker::step(BuildNumber build) const {
    if (!received || build != furthest.build || latest.build != build)
        return 0;
    return std::min(furthest.step, latest.step);
}

double RolloutTracker::stageShare() const {
    const auto step = std::size_t(furthest.step);
    return step < settings.stageShares.size() ? settings.stageShares[step] : 1;
}

Duration RolloutTracker::scaledToStage(Duration wait) const {
    const Duration minDuration = settings.minStageDuration;
    if (minDuration <= Duration{0} || minDuration >= kReferenceStageDuration)
        return wait;
    return Duration{wait.count() * minDuration.count() / kReferenceStageDuration.count()};
}

std::optional<TimePoint> RolloutTracker::stageClockStart(const FleetSummary &fleet,
                                                         TimePoint now) const {
    if (fleet.rolloutEndpoints + kHalfEndpoint >= stageShare() * fleet.targetEndpoints)
        return std::max(stageStartedAt, fleet.latestRolloutStart) + scaledToStage(kStageClockDelay);
    if (now - stageStartedAt > kMaxEndpointWait)
        return stageStartedAt + kMaxEndpointWait;
    return std::nullopt;
}

}  // namespace deckcart::policy
