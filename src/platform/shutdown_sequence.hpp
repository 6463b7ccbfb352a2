// Executes the plan of a graceful shutdown; see timing.hpp. Used by the service.
#pragma once

#include <asio.hpp>
#include <functional>

#include "timing.hpp"

namespace deckcart::platform {

/// Has a separate timer for each step, so that scheduling one does not cancel another. Not
/// thread-safe: all calls and callbacks are made on the io_context's thread.
class ShutdownSequence {
  public:
    /// The callbacks of the steps, in the order in which they are called.
    struct Steps {
        std::function<void()> drain;         ///< stops accepting connections
        std::function<void()> failInFlight;  ///< answers the requests still in flight with an error
        std::function<void()> exit;          ///< ends the process regardless of open connections
    };

    explicit ShutdownSequence(asio::io_context &context)
        : drainTimer(context), answerTimer(context), exitTimer(context) {}

    /// Schedules all steps, counting from now. Call once.
    void start(const ShutdownPlan &plan, Steps steps);
    [[nodiscard]] bool started() const { return begun; }

  private:
    asio::steady_timer drainTimer;
    asio::steady_timer answerTimer;
    asio::steady_timer exitTimer;
    bool begun = false;
};

/// Calls the callback once after the delay, unless the timer is cancelled or set again before.
void callAfter(asio::steady_timer &timer, Duration delay, std::function<void()> callback);

}  // namespace deckcart::platform
