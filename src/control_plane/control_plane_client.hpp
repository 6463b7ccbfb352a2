// Interface between a gateway and its control plane, independent of the protocol: list and watch of
// endpoints and rollout updates, and votes. http_control_plane_client.hpp implements it over HTTP,
// src/platform/ for the platform. The decision module, not the client, decides when to list, to
// watch and to vote.
#pragma once

#include <deckcart/policy.hpp>
#include <functional>

namespace deckcart {

/// A gateway's client of its control plane. All calls are made on the gateway's thread.
class ControlPlaneClient {
  public:
    virtual ~ControlPlaneClient() = default;
    /// True: fetches the full list, then watches for changes from its version. False: ends the
    /// watch. A failed list or watch is reported as EndpointListFailed; the client does not retry
    /// it.
    virtual void setSubscribed(bool active) = 0;
    /// Casts a vote. Its reply or failure is reported as a RolloutUpdate with isVoteReply set.
    /// @param timeout  for the reply
    virtual void vote(const Vote &vote, Duration timeout) = 0;
};

/// Callbacks of a client's owner.
struct ControlPlaneObserver {
    std::function<TimePoint()> now;      ///< the gateway's clock
    std::function<void(Event)> onEvent;  ///< receives each update
};

/// The update for a vote without a usable reply.
/// @param outcome  why; with Outcome::timeout the vote may have been counted
[[nodiscard]] inline RolloutUpdate failedVoteUpdate(Outcome outcome) {
    return {true, outcome, 0, 0, RolloutPhase::canary, 0, {}};
}

}  // namespace deckcart
