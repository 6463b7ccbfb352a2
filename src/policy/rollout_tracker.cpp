// Stages, exposure and clock of the rollout.
#include "rollout_tracker.hpp"

#include <algorithm>
#include <cstddef>

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

// Updates are late by less: what still tells of a passed stage after that offers it again.
constexpr Duration kOvertaken = 8s;
// The clock of a stage starts so long after its last endpoint, as the platform sees it later.
constexpr Duration kClockLag = 1s;
// And so long after the stage at the latest.
constexpr Duration kEndpointsLate = 8s;
// The waits on a stage rest on a least stage of this; shorter ones shrink them.
constexpr Duration kStageTuned = 1500ms;
// Half an endpoint: the part of a stage need not be a whole number of them.
constexpr double kHalfEndpoint = 0.5;

// A build passes through the phases one way.
int rank(RolloutPhase phase) {
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

bool precedes(const RolloutUpdate &one, const RolloutUpdate &other) {
    if (one.phase != other.phase)
        return rank(one.phase) < rank(other.phase);
    return one.step < other.step;
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
        heardSince = now;
    received = true;
    // An update that a later one has overtaken, as the answer to a vote does: the stage passed does
    // not come back with its limit and its streaks. Harm: a number offered again is taken for an
    // old update for some seconds.
    if (!otherBuild && precedes(update, furthest) && now < began + kOvertaken)
        return RolloutChange::none;
    furthest = update;
    if (!changed)
        return RolloutChange::none;
    began = now - update.age;
    if (update.phase == RolloutPhase::rollingBack || update.phase == RolloutPhase::rolledBack)
        rolledBack = update.build;
    return otherBuild ? RolloutChange::build : RolloutChange::stage;
}

bool RolloutTracker::isCanary(BuildNumber build) const {
    if (!received)
        return oldestListed && build > *oldestListed;
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

Duration RolloutTracker::paced(Duration wait) const {
    const Duration least = settings.minStageDuration;
    if (least <= Duration{0} || least >= kStageTuned)
        return wait;
    return Duration{wait.count() * least.count() / kStageTuned.count()};
}

std::optional<TimePoint> RolloutTracker::clockStart(const FleetSummary &fleet,
                                                    TimePoint now) const {
    if (fleet.newestEndpoints + kHalfEndpoint >= stageShare() * fleet.places)
        return std::max(began, fleet.newestStart) + paced(kClockLag);
    if (now - began > kEndpointsLate)
        return began + kEndpointsLate;
    return std::nullopt;
}

}  // namespace deckcart::policy
