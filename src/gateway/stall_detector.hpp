// Finds out when the process stood still (suspended, starved of CPU) and defers what must wait
// until everything that came meanwhile has been read. Pure: time is passed in; LoopClock drives it.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "../base/clock.hpp"

namespace deckcart {

/// A turn of the event loop that comes much later than the one before means that the process
/// stalled. What the loop then finds came at some time during the stall, and its lateness is no
/// endpoint's latency: so the policy's time stays at the last turn before the stall until the loop
/// has gone quiet; only then it jumps to the present.
class StallDetector {
  public:
    using Callback = std::function<void()>;

    explicit StallDetector(TimePoint start) : lastTurnAt(start) {}

    /// To be called on every turn of the loop. Returns the stall's length where this turn is the
    /// first after a stall of more than `threshold`; nothing while that stall is being handled.
    [[nodiscard]] std::optional<Duration> observe(TimePoint realTime, Duration threshold);

    bool isStalled() const { return stalled; }
    /// The latest time observed; never runs backwards between two calls of resume().
    TimePoint lastTurn() const { return lastTurnAt; }
    /// The time that the policy is given: that of the last turn before the stall, while stalled.
    TimePoint policyTime() const { return stalled ? stalledAt : lastTurnAt; }

    /// Something was read from a socket: the loop is not quiet yet.
    void countSocketEvent() { ++socketEvents; }
    /// A pass of the loop over all of its sockets begins.
    void beginRound() { eventsBeforeRound = socketEvents; }
    /// That pass has ended: whether all that came during the stall has been read.
    [[nodiscard]] bool finishRound();

    /// Runs the callback at once, or keeps it until resume() while stalled.
    void runAfterStall(Callback callback);
    /// Ends the stall. Returns what was deferred, in order; the caller runs it.
    [[nodiscard]] std::vector<Callback> resume(TimePoint realTime);

  private:
    TimePoint lastTurnAt;
    TimePoint stalledAt{};
    bool stalled = false;
    int rounds = 0;
    std::uint64_t socketEvents = 0;
    std::uint64_t eventsBeforeRound = 0;
    std::vector<Callback> deferred;
};

}  // namespace deckcart
