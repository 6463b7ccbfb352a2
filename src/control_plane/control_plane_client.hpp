// What a gateway needs of its control plane, whatever the protocol: the endpoint list and rollout
// updates by list and watch, votes. HTTP's client stands beside this file, the platform's in
// src/platform/. No client decides when to watch, to list anew or to vote: the decision module
// does.
#pragma once

#include <deckcart/policy.hpp>
#include <functional>

namespace deckcart {

/// The gateway's connection to its control plane. All calls on the gateway's thread.
class ControlPlaneClient {
  public:
    virtual ~ControlPlaneClient() = default;
    /// Lists anew and watches from there (true), or ends the watch (false). A watch that breaks
    /// off is reported as EndpointListFailed and not made anew by the client.
    virtual void follow(bool active) = 0;
    /// Casts a vote. Its reply, or its failure, is a RolloutUpdate with isVoteReply set.
    /// @param within  how long the reply may take
    virtual void vote(const Vote &vote, Duration within) = 0;
};

/// What a client works for.
struct ControlPlaneObserver {
    std::function<TimePoint()> now;   ///< the gateway's clock
    std::function<void(Event)> tell;  ///< takes each update
};

/// The reply of a vote that did not count, or may have.
[[nodiscard]] inline RolloutUpdate voteFailed(Outcome outcome) {
    return {true, outcome, 0, 0, RolloutPhase::canary, 0, {}};
}

}  // namespace deckcart
