// Runs the decision module: queues events, has each decided on in its turn and hands the actions
// out. Knows nothing of sockets.
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

/// Owns the policy and its records. A record is one start of the policy with one set of settings;
/// it takes the requests that arrive while it is the current one and is stopped when the last of
/// them has ended after that.
class PolicyDriver {
  public:
    using ActionHandler = std::function<void(GatewayId record, const Action &action)>;

    /// `clock` and `counts` must outlive this object. `onAction` may notify further events: they
    /// are decided on after the actions at hand.
    PolicyDriver(std::uint64_t seed, LoopClock &clock, GatewayCounts &counts,
                 ActionHandler onAction);

    /// Starts a new record, which becomes the current one. The seed is drawn here.
    void start(PolicySettings settings);
    /// The record that new requests go to.
    GatewayId currentRecord() const { return current; }

    void notify(Event event, GatewayId record);
    /// To every record.
    void notifyAll(const Event &event);

    /// A request of the current record is in flight from now on.
    void addRequest() { ++requestsOf[current]; }
    /// A request of this record has ended; the last one of a record that is not current stops it.
    void removeRequest(GatewayId record);
    /// Stops a record that has no requests in flight.
    void stopIfIdle(GatewayId record);

  private:
    struct QueuedEvent {
        GatewayId record = 0;
        Event event;
    };
    void decide();

    std::uint64_t seed;
    LoopClock &clock;
    GatewayCounts &counts;
    ActionHandler onAction;
    Policy policy;
    GatewayId current = 0;
    std::map<GatewayId, std::size_t> requestsOf;  // in flight, by record
    std::deque<QueuedEvent> queue;
    std::vector<Event> eventInHand;  // kept between events for its memory
    bool deciding = false;
};

}  // namespace deckcart
