// The clock of a gateway's event loop. Every callback of a socket or timer calls tick() first,
// which detects process stalls. StallDetector implements the rules.
#pragma once

#include <asio/io_context.hpp>
#include <functional>

#include "../base/callback_guard.hpp"
#include "../base/clock.hpp"
#include "../settings/gateway_settings.hpp"
#include "stall_detector.hpp"

namespace deckcart {

/// Owned by the gateway; used on its event loop thread only.
class LoopClock {
  public:
    struct Stall {
        TimePoint detectedAt{};  ///< On the real clock.
        Duration length{};
    };
    /// Called from tick() when a stall is detected, before any input that arrived during the stall
    /// is processed.
    using StallHandler = std::function<void(const Stall &)>;

    /// All references must outlive this object. The stall threshold is read from the settings on
    /// every tick.
    LoopClock(asio::io_context &context, const Clock &clock, const GatewaySettings &settings,
              StallHandler onStall);

    /// Records the current real time as the latest tick. Returns the policy's time.
    TimePoint tick();
    TimePoint policyTime() const { return detector.policyTime(); }
    /// The real time of the latest tick.
    TimePoint lastTick() const { return detector.lastTick(); }
    /// The current real time, without recording a tick.
    TimePoint realTime() const { return clock.now(); }
    bool isStalled() const { return detector.isStalled(); }

    /// To be called for every socket event: a stall counts as handled only when no more events
    /// arrive.
    void countSocketEvent() { detector.countSocketEvent(); }
    /// Records a tick, then runs the callback: immediately, or after the stall if the process is
    /// handling one. Callbacks that are still deferred when this object is destroyed are dropped.
    void runAfterStall(std::function<void()> callback);

  private:
    void waitUntilQuiet();
    void resume();

    asio::io_context &context;
    const Clock &clock;
    const GatewaySettings &settings;
    StallHandler onStall;
    StallDetector detector;
    CallbackGuard guard;
};

}  // namespace deckcart
