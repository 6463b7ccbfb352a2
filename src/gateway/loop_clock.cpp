#include "loop_clock.hpp"

#include <asio/post.hpp>
#include <utility>

namespace deckcart {

LoopClock::LoopClock(asio::io_context &ioContext, const Clock &realClock,
                     const GatewaySettings &gatewaySettings, StallHandler stallHandler)
    : context(ioContext), clock(realClock), settings(gatewaySettings),
      onStall(std::move(stallHandler)), detector(realClock.now()) {}

TimePoint LoopClock::tick() {
    const TimePoint now = clock.now();
    if (const auto length = detector.observe(now, settings.stallThreshold)) {
        onStall({now, *length});
        waitUntilQuiet();
    }
    return detector.policyTime();
}

void LoopClock::runAfterStall(std::function<void()> callback) {
    tick();
    detector.runAfterStall(std::move(callback));
}

// A posted callback runs after the event loop has polled all sockets that were ready.
void LoopClock::waitUntilQuiet() {
    detector.beginPass();
    asio::post(context, guard.wrap([this] {
        if (detector.finishPass())
            resume();
        else
            waitUntilQuiet();
    }));
}

void LoopClock::resume() {
    for (const auto &callback : detector.resume(clock.now()))
        callback();
}

}  // namespace deckcart
