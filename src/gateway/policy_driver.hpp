// Runs the decision module: queues events, lets the policy process them one by one and hands out
// the resulting actions. Does no network I/O.
#pragma once

#include <cstdint>
#include <deckcart/policy.hpp>
#include <deque>
#include <functional>
#include <map>
#include <vector>

#include "gateway_counts.hpp"
#include "loop_clock.hpp"

namespace deckcart {

/// Owns the policy and its generations. A generation is one start of the policy with one set of
/// settings. It handles the requests that arrive while it is the current one; once replaced, it is
/// stopped when the last of them has ended.
class PolicyDriver {
  public:
    using ActionHandler = std::function<void(GatewayId generation, const Action &action)>;

    /// `clock` and `counts` must outlive this object. `onAction` may call notify(): such events
    /// are processed after the remaining actions of the current event.
    PolicyDriver(std::uint64_t seed, LoopClock &clock, GatewayCounts &counts,
                 ActionHandler onAction);

    /// Starts a new generation and makes it the current one. Sets the generation's seed.
    void start(PolicySettings settings);
    /// The generation that new requests are assigned to.
    GatewayId currentGeneration() const { return current; }

    void notify(Event event, GatewayId generation);
    /// Notifies every generation.
    void notifyAll(const Event &event);

    /// Counts a request in flight for the current generation.
    void addRequest() { ++requestsInFlight[current]; }
    /// Records that a request of this generation has ended. A replaced generation is stopped when
    /// its last request ends.
    void removeRequest(GatewayId generation);
    /// Stops the generation if it has no requests in flight.
    void stopIfIdle(GatewayId generation);

  private:
    struct QueuedEvent {
        GatewayId generation = 0;
        Event event;
    };
    void decide();

    std::uint64_t seed;
    LoopClock &clock;
    GatewayCounts &counts;
    ActionHandler onAction;
    Policy policy;
    GatewayId current = 0;
    std::map<GatewayId, std::size_t> requestsInFlight;  // by generation
    std::deque<QueuedEvent> queue;
    std::vector<Event> currentEvent;  // holds one event; a member so that its memory is reused
    bool deciding = false;
};

}  // namespace deckcart
