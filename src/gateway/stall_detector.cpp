#include "stall_detector.hpp"

#include <algorithm>
#include <utility>

namespace deckcart {
namespace {

// Passes that are always made: the first ones may stand behind handlers that were ready before.
constexpr int kMinRounds = 2;
// Bounds the time a stall is handled where sockets never go quiet.
constexpr int kMaxRounds = 200;

}  // namespace

std::optional<Duration> StallDetector::observe(TimePoint realTime, Duration threshold) {
    const TimePoint before = lastTurnAt;
    const Duration gap = realTime - before;
    lastTurnAt = std::max(realTime, before);
    if (stalled || gap <= threshold)
        return std::nullopt;
    stalled = true;
    stalledAt = before;
    rounds = 0;
    return gap;
}

bool StallDetector::finishRound() {
    const bool sawEvents = socketEvents != eventsBeforeRound;
    const bool quiet = rounds >= kMinRounds && (!sawEvents || rounds >= kMaxRounds);
    ++rounds;
    return quiet;
}

void StallDetector::runAfterStall(Callback callback) {
    if (stalled)
        deferred.push_back(std::move(callback));
    else
        callback();
}

std::vector<StallDetector::Callback> StallDetector::resume(TimePoint realTime) {
    stalled = false;
    lastTurnAt = realTime;
    return std::exchange(deferred, {});
}

}  // namespace deckcart
