// The last known endpoint list and rollout stage. Used for the data path's own checks, by the API,
// and to initialize a restarted policy.
#pragma once

#include <deckcart/policy.hpp>
#include <map>
#include <optional>
#include <vector>

#include "../control_plane/documents.hpp"
#include "transport.hpp"

namespace deckcart {

class EndpointSnapshot {
  public:
    /// Applies an update and closes idle connections to endpoints that get no new requests.
    void apply(const EndpointListUpdate &update, UpstreamPool &upstreams);

    /// Returns null if the endpoint is not listed.
    const EndpointEntry *find(const EndpointId &endpoint) const;
    /// Whether requests may be sent to the endpoint as one that runs this build.
    bool isActive(const EndpointId &endpoint, BuildNumber build) const;
    /// Sorted by endpoint id.
    std::vector<EndpointEntry> entries() const;
    /// The endpoint most recently listed as draining; empty if there was none.
    const EndpointId &lastDraining() const { return lastDrainingEndpoint; }

  private:
    std::map<EndpointId, EndpointEntry> entriesById;
    EndpointId lastDrainingEndpoint;
};

class RolloutState {
  public:
    struct Change {
        bool stageChanged = false;  ///< The build, the step or the phase has changed.
        /// The build whose exposure limit has been lowered.
        std::optional<BuildNumber> buildWithLoweredLimit;
    };
    /// Applies an update. Updates that only report a failed vote change nothing.
    Change apply(const RolloutUpdate &update);
    /// Empty until the first update.
    const std::optional<RolloutStage> &stage() const { return currentStage; }

  private:
    std::optional<RolloutStage> currentStage;
};

}  // namespace deckcart
