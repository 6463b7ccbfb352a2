#include "loop_clock.hpp"

#include <asio/post.hpp>
#include <utility>

namespace deckcart {

LoopClock::LoopClock(asio::io_context &ioContext, const Clock &realClock,
                     const GatewaySettings &gatewaySettings, StallHandler stallHandler)
    : context(ioContext), clock(realClock), settings(gatewaySettings),
      onStall(std::move(stallHandler)), detector(realClock.now()) {}

TimePoint LoopClock::turn() {
    const TimePoint now = clock.now();
    if (const auto length = detector.observe(now, settings.standstill)) {
        onStall({now, *length});
        awaitQuietLoop();
    }
    return detector.policyTime();
}

void LoopClock::afterStall(std::function<void()> callback) {
    turn();
    detector.runAfterStall(std::move(callback));
}

// A posted callback runs once the loop has looked at all sockets that were ready.
void LoopClock::awaitQuietLoop() {
    detector.beginRound();
    asio::post(context, guard.wrap([this] {
        if (detector.finishRound())
            resume();
        else
            awaitQuietLoop();
    }));
}

void LoopClock::resume() {
    for (const auto &callback : detector.resume(clock.now()))
        callback();
}

}  // namespace deckcart
