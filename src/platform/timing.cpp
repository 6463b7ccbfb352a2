#include "timing.hpp"

#include <algorithm>

namespace deckcart::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A process of before may hold the address for some seconds more.
constexpr Duration kListenTimeout = seconds(8);
constexpr Duration kListenRetryInterval = milliseconds(50);
// Discovery answers at once unless it is down; then the list as last known is all there is. A
// listing that changed since binds 300 ms after it was told.
constexpr Duration kFirstListTimeout = milliseconds(300);

// Connections come for up to 0.4 s after the signal.
constexpr Duration kAcceptFor = milliseconds(500);
// The platform kills the process at the longest time-out of its routes, 3 s at most, and 0.7 s.
constexpr Duration kLongestTimeoutCounted = seconds(3);
constexpr Duration kAnswerMargin = milliseconds(550);
// For readers of the last answers; the kill follows 50 ms later.
constexpr Duration kLastAnswersReadTime = milliseconds(100);

// Heartbeats come every 2 s (list) and every second (rollout): one of them late by half, or two.
constexpr Duration kSilence = seconds(3);
constexpr Duration kFirstMessage = milliseconds(800);

}  // namespace

StartupPlan startupPlan() {
    return {kListenTimeout, kListenRetryInterval, kFirstListTimeout};
}

ShutdownPlan shutdownPlan(Duration longestTimeout) {
    const Duration answerDeadline =
        std::min(longestTimeout, kLongestTimeoutCounted) + kAnswerMargin;
    return {kAcceptFor, answerDeadline, answerDeadline + kLastAnswersReadTime};
}

// The list's silence has a clock: what it misses counts as told 6 s after it began. Discovery
// answers at once, but may be mute once or twice: opened anew after 3 s, 3.8 s and 5.4 s of
// silence, and told by 6 s. The third waits out a heartbeat.
WatchTimeouts listTimeouts() {
    return {kSilence, kFirstMessage, milliseconds(50), milliseconds(400)};
}

WatchTimeouts rolloutTimeouts() {
    return {kSilence, kFirstMessage, milliseconds(20), milliseconds(500)};
}

// As long again for the answer as for the connection.
Duration probeTimeout(Duration connectTimeout) {
    return 2 * connectTimeout;
}

}  // namespace deckcart::platform
