#include "shutdown_sequence.hpp"

#include <utility>

namespace deckcart::platform {

void ShutdownSequence::start(const ShutdownPlan &plan, Steps steps) {
    begun = true;
    callAfter(drainTimer, plan.acceptDeadline, std::move(steps.drain));
    callAfter(answerTimer, plan.answerDeadline, std::move(steps.failInFlight));
    callAfter(exitTimer, plan.exitDeadline, std::move(steps.exit));
}

void callAfter(asio::steady_timer &timer, Duration delay, std::function<void()> callback) {
    timer.expires_after(delay);
    timer.async_wait([callback = std::move(callback)](asio::error_code error) {
        if (!error)
            callback();
    });
}

}  // namespace deckcart::platform
