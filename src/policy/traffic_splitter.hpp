// Split of traffic between canary and baseline: a sticky hash of the key compared with the canary's
// share, and the order in which a request tries the builds.
#pragma once

#include <cstdint>
#include <deckcart/policy.hpp>
#include <string>
#include <vector>

#include "endpoint_table.hpp"
#include "fleet_observer.hpp"
#include "rollout_tracker.hpp"

namespace deckcart::policy {

/// Fraction of the exposure limit that first attempts use; the rest is left for retries.
constexpr double kFirstAttemptShare = 0.7;

/// Maps a key to [0, 1): the same on every gateway, independent of the standard library's hash.
double stickyHash(const std::string &key, std::uint64_t salt);

/// The fraction of the keys whose first attempts go to the canary, a fraction of the exposure
/// limit. While endpoints of the stage are missing or warming up it is scaled by the available
/// capacity, so that the few are not overloaded. `evenShare`: limited to an even share per
/// endpoint.
double canaryShare(const RolloutTracker &rollout, const FleetSummary &fleet, bool evenShare);

/// The newest build with an active endpoint that is not a canary; 0 if there is none.
BuildNumber baselineBuild(const EndpointsByBuild &builds, const RolloutTracker &rollout);

/// The builds in the order in which a request should try them. `canaryFirst`: the rollout's build
/// comes before the baseline.
std::vector<BuildNumber> buildOrder(const EndpointsByBuild &builds, const RolloutTracker &rollout,
                                    bool canaryFirst);

}  // namespace deckcart::policy
