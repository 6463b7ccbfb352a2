#include "stall_detector.hpp"

#include <algorithm>
#include <utility>

namespace deckcart {
namespace {

// The first passes may only run handlers that were queued before, so they never count as quiet.
constexpr int kMinPasses = 2;
// Bounds the time for which a stall is handled if the sockets never go quiet.
constexpr int kMaxPasses = 200;

}  // namespace

std::optional<Duration> StallDetector::observe(TimePoint realTime, Duration threshold) {
    const TimePoint before = lastTickAt;
    const Duration gap = realTime - before;
    lastTickAt = std::max(realTime, before);
    if (stalled || gap <= threshold)
        return std::nullopt;
    stalled = true;
    stallStart = before;
    passes = 0;
    return gap;
}

bool StallDetector::finishPass() {
    const bool sawEvents = socketEvents != eventsBeforePass;
    const bool quiet = passes >= kMinPasses && (!sawEvents || passes >= kMaxPasses);
    ++passes;
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
    lastTickAt = realTime;
    return std::exchange(deferred, {});
}

}  // namespace deckcart
