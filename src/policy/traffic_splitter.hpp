// The split of traffic between the canary and the baseline: a sticky hash of the key against the
// canary's share, and the order in which a request tries the builds.
#pragma once

#include <cstdint>
#include <deckcart/policy.hpp>
#include <string>
#include <vector>

#include "endpoint_table.hpp"
#include "fleet_observer.hpp"
#include "rollout_tracker.hpp"

namespace deckcart::policy {

// First attempts use this part of the exposure limit; the rest is left for retries.
constexpr double kFirstAttemptShare = 0.7;

/// A place in [0, 1) for a key: the same at every gateway, whatever the standard library hashes
/// with.
double stickyHash(const std::string &key, std::uint64_t salt);

/// The part of the keys whose first attempts go to the canary: a part of the exposure limit.
/// Exception: while endpoints of the stage are missing or warming up, by what of it runs, or the
/// few would be crowded. `evenShare`: no more than an even share for each endpoint.
double canaryShare(const RolloutTracker &rollout, const FleetSummary &fleet, bool evenShare);

/// The newest listed build that is no canary; 0 if there is none.
BuildNumber baselineBuild(const EndpointsByBuild &builds, const RolloutTracker &rollout);

/// The builds in the order in which a request should try them. `canaryFirst`: whether the rollout's
/// build comes before the baseline.
std::vector<BuildNumber> buildOrder(const EndpointsByBuild &builds, const RolloutTracker &rollout,
                                    bool canaryFirst);

}  // namespace deckcart::policy
