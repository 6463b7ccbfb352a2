// The clock of a gateway's event loop: every callback from a socket or timer reads it first, which
// is how a process stall is found. The rule of stalls is StallDetector's.
#pragma once

#include <asio/io_context.hpp>
#include <functional>

#include "../base/callback_guard.hpp"
#include "../base/clock.hpp"
#include "../settings/gateway_settings.hpp"
#include "stall_detector.hpp"

namespace deckcart {

/// Owned by the gateway, used on the thread of its loop only.
class LoopClock {
  public:
    struct Stall {
        TimePoint foundAt{};  ///< On the real clock.
        Duration length{};
    };
    /// Called within turn() when a stall is found, before anything that came meanwhile is handled.
    using StallHandler = std::function<void(const Stall &)>;

    /// All references must outlive this object. The settings' threshold is read on each turn.
    LoopClock(asio::io_context &context, const Clock &clock, const GatewaySettings &settings,
              StallHandler onStall);

    /// Notes a turn of the loop. Returns the policy's time.
    TimePoint turn();
    TimePoint policyTime() const { return detector.policyTime(); }
    /// The real time of the last turn.
    TimePoint lastTurn() const { return detector.lastTurn(); }
    /// The real time at this moment; is no turn.
    TimePoint realTime() const { return clock.now(); }
    bool isStalled() const { return detector.isStalled(); }

    /// To be called for whatever a socket has brought: a stall lasts until none comes any more.
    void countSocketEvent() { detector.countSocketEvent(); }
    /// Notes a turn, then runs the callback: at once, or when the stall that this turn is in has
    /// been handled. Deferred callbacks are dropped with this object.
    void afterStall(std::function<void()> callback);

  private:
    void awaitQuietLoop();
    void resume();

    asio::io_context &context;
    const Clock &clock;
    const GatewaySettings &settings;
    StallHandler onStall;
    StallDetector detector;
    CallbackGuard guard;
};

}  // namespace deckcart
