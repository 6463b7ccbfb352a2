#include "timing.hpp"

#include <algorithm>

namespace deckcart::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A previous process may hold the address for some seconds.
constexpr Duration kListenTimeout = seconds(8);
constexpr Duration kListenRetryInterval = milliseconds(50);
// Discovery answers immediately unless it is down, in which case only the last known list is
// available. A change of the list becomes binding 300 ms after it was sent.
constexpr Duration kFirstListTimeout = milliseconds(300);

// Clients open connections for up to 0.4 s after the signal.
constexpr Duration kAcceptDeadline = milliseconds(500);
// The platform kills the process 0.7 s after the longest timeout of its routes, of which it counts
// 3 s at most.
constexpr Duration kMaxRouteTimeout = seconds(3);
constexpr Duration kAnswerMargin = milliseconds(550);
// Time for clients to read the last responses; the kill follows 50 ms later.
constexpr Duration kLastResponseReadTime = milliseconds(100);

// Heartbeats arrive every 2 s (list) and every second (rollout): tolerates a list heartbeat that is
// late by half its interval, or two missing rollout heartbeats.
constexpr Duration kSilenceTimeout = seconds(3);
constexpr Duration kFirstMessageTimeout = milliseconds(800);

}  // namespace

StartupPlan startupPlan() {
    return {kListenTimeout, kListenRetryInterval, kFirstListTimeout};
}

ShutdownPlan shutdownPlan(Duration longestTimeout) {
    const Duration answerDeadline = std::min(longestTimeout, kMaxRouteTimeout) + kAnswerMargin;
    return {kAcceptDeadline, answerDeadline, answerDeadline + kLastResponseReadTime};
}

// A change that discovery could not deliver because the watch fell silent becomes binding 6 s after
// the silence began. Discovery answers immediately, but up to two new connections may stay silent:
// connections are opened 3 s, 3.8 s and 5.4 s into the silence, so the third one delivers the list
// before 6 s. Its timeout is longer than a heartbeat interval.
WatchTimeouts listTimeouts() {
    return {kSilenceTimeout, kFirstMessageTimeout, milliseconds(50), milliseconds(400)};
}

WatchTimeouts rolloutTimeouts() {
    return {kSilenceTimeout, kFirstMessageTimeout, milliseconds(20), milliseconds(500)};
}

// Allows the connect timeout for the connection and the same time for the reply.
Duration probeTimeout(Duration connectTimeout) {
    return 2 * connectTimeout;
}

}  // namespace deckcart::platform
