// Detects that the process was not running for a while (suspended, or starved of CPU) and defers
// callbacks until all input that arrived in the meantime has been read. Does no I/O: time is
// passed in; LoopClock drives it.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "../base/clock.hpp"

namespace deckcart {

/// A long gap between two ticks of the event loop means that the process has stalled. The input
/// read next arrived at an unknown time during the stall, so its delay must not be attributed to
/// an endpoint's latency. The policy's time therefore stays at the last tick before the stall
/// until the loop has read all pending input, and then jumps to the present.
class StallDetector {
  public:
    using Callback = std::function<void()>;

    explicit StallDetector(TimePoint start) : lastTickAt(start) {}

    /// To be called on every tick of the loop. Returns the length of the stall if this is the
    /// first tick after a gap longer than `threshold`; returns nothing while that stall is still
    /// being handled.
    [[nodiscard]] std::optional<Duration> observe(TimePoint realTime, Duration threshold);

    bool isStalled() const { return stalled; }
    /// The latest time observed. Does not decrease, except that resume() sets it to the time it is
    /// given.
    TimePoint lastTick() const { return lastTickAt; }
    /// The time given to the policy: while stalled, that of the last tick before the stall.
    TimePoint policyTime() const { return stalled ? stallStart : lastTickAt; }

    /// Records that data was read from a socket, so the loop is not quiet yet.
    void countSocketEvent() { ++socketEvents; }
    /// Marks the start of a pass of the event loop over all its sockets.
    void beginPass() { eventsBeforePass = socketEvents; }
    /// Marks the end of the pass. Returns whether all input that arrived during the stall has been
    /// read.
    [[nodiscard]] bool finishPass();

    /// Runs the callback immediately, or defers it until resume() while stalled.
    void runAfterStall(Callback callback);
    /// Ends the stall. Returns the deferred callbacks in order; the caller must run them.
    [[nodiscard]] std::vector<Callback> resume(TimePoint realTime);

  private:
    TimePoint lastTickAt;
    TimePoint stallStart{};
    bool stalled = false;
    int passes = 0;
    std::uint64_t socketEvents = 0;
    std::uint64_t eventsBeforePass = 0;
    std::vector<Callback> deferred;
};

}  // namespace deckcart
