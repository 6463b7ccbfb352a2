// Carries out the plan of a graceful shutdown; see timing.hpp. Used by the process.
#pragma once

#include <asio.hpp>
#include <functional>

#include "timing.hpp"

namespace deckcart::platform {

/// Three timers of its own, so that none displaces another. One thread, that of its io_context.
class ShutdownSequence {
  public:
    struct Steps {
        std::function<void()> drain;         ///< no new connections from now on
        std::function<void()> failInFlight;  ///< answer what is still in flight
        std::function<void()> exit;          ///< end, whatever is left
    };

    explicit ShutdownSequence(asio::io_context &context)
        : drainTimer(context), answerTimer(context), exitTimer(context) {}

    /// Takes each step at its time, unless the loop has ended before. Call it once.
    void start(const ShutdownPlan &plan, Steps steps);
    [[nodiscard]] bool started() const { return begun; }

  private:
    asio::steady_timer drainTimer;
    asio::steady_timer answerTimer;
    asio::steady_timer exitTimer;
    bool begun = false;
};

/// Calls back once after the delay, unless the timer is cancelled or set again before.
void callAfter(asio::steady_timer &timer, Duration delay, std::function<void()> callback);

}  // namespace deckcart::platform
