// What the control plane or the other sources have said last: the endpoint list and the rollout's
// stage. For the data path's own checks, for whoever asks, and for a policy that starts anew.
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
    /// Takes an update in and closes idle connections to endpoints that get no new requests.
    void apply(const EndpointListUpdate &update, UpstreamPool &upstreams);

    /// Null where it is not listed.
    const EndpointEntry *find(const EndpointId &endpoint) const;
    /// Whether it may be sent requests as one of this build.
    bool isActive(const EndpointId &endpoint, BuildNumber build) const;
    /// Ordered by endpoint.
    std::vector<EndpointEntry> entries() const;
    /// The one that was listed as draining last; empty: none was.
    const EndpointId &lastDraining() const { return lastDrainingEndpoint; }

  private:
    std::map<EndpointId, EndpointEntry> listed;
    EndpointId lastDrainingEndpoint;
};

class RolloutState {
  public:
    struct Change {
        bool stageMoved = false;                  ///< Another build, step or phase than before.
        std::optional<BuildNumber> loweredBuild;  ///< Its exposure limit is lower than before.
    };
    /// Updates that are no more than a failed vote change nothing.
    Change apply(const RolloutUpdate &update);
    /// Empty until the first update.
    const std::optional<RolloutStage> &stage() const { return lastStage; }

  private:
    std::optional<RolloutStage> lastStage;
};

}  // namespace deckcart
