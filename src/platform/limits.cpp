#include "limits.hpp"

#include <algorithm>

#include "commands.hpp"

namespace deckcart::platform {

using std::chrono::milliseconds;

constexpr std::size_t kReserveLeast = 24,
                      kReservePart = 12;  // one in so many: streams, votes, half-closed ones
constexpr std::size_t kRequestsPerMb =
    32;  // 32 KiB a request: most hold far less, some two values of 64 KiB
// Values are stated to hold 64 KiB at most, but days have shown three times that. One in 64 of the
// memory for an answer, as some tens come at a time; one in 256 for a command, as all clients may
// be bad ones at once.
constexpr std::size_t kValueLeast = 65536, kValueMost = 1048576, kAnswersAtOnce = 64,
                      kCommandsAtOnce = 256;
// A planned end: connections come for up to 0.4 s; the kill at the longest time-out, at most 3 s,
// and 0.7 s.
constexpr Duration kAcceptsFor = std::chrono::milliseconds(500),
                   kLongestCounted = std::chrono::seconds(3),
                   kKillMargin = std::chrono::milliseconds(550),
                   kLastWords = std::chrono::milliseconds(100);
constexpr std::size_t kBesideValue = 4096,
                      kMostLine = 512;  // of a reply: its report, and an error's words
constexpr Duration kSweepLeast = std::chrono::milliseconds(50),
                   kSweepMost = std::chrono::seconds(1);
constexpr std::size_t kReplyItems = 4;  // three are stated
// What comes behind an answer came up to 3.8 ms later on the days that play it (31 of one day); a
// network's delays differ. Taken for an answer it would be another request's. Harm: some more
// connections where a gateway is busy.
constexpr Duration kRest = std::chrono::milliseconds(10);

Bounds divide(std::size_t sockets, std::size_t memoryMb, std::size_t maxRequests,
              Duration keptIdle) {
    Bounds out;
    out.reserve = std::max(kReserveLeast, sockets / kReservePart);
    const std::size_t rest = sockets > out.reserve ? sockets - out.reserve : 2;
    // Clients with requests hold a third of all at most; the others are room for those who only
    // stay connected.
    out.upstreams = std::max<std::size_t>(1, std::min(rest / 2, sockets / 3 + sockets / 12));
    out.clients = std::max<std::size_t>(1, rest - out.upstreams);
    out.maxRequestsInFlight =
        std::max<std::size_t>(1, std::min(maxRequests, memoryMb * kRequestsPerMb));
    const std::size_t memory = memoryMb * 1048576;
    out.valueBytes = std::clamp(memory / kAnswersAtOnce, kValueLeast, kValueMost);
    out.bodyBytes = std::clamp(memory / kCommandsAtOnce, kValueLeast, kValueMost);
    out.idleFor = keptIdle /
                  2;  // the machine closes at the latest then: a request written late would be lost
    out.sweepEvery = std::clamp(out.idleFor / 4, kSweepLeast, kSweepMost);
    out.restFor = kRest;
    return out;
}

Ending ending(Duration longestTimeout) {
    return {kAcceptsFor, std::min(longestTimeout, kLongestCounted) + kKillMargin, kLastWords};
}

// The agent answers at once unless discovery is down; then the list as last known is all there is.
// A listing that changed since binds 300 ms after it was told.
Starting starting() {
    return {milliseconds(8000), milliseconds(50), milliseconds(300)};
}

// Signs of life come every 2 s and every second: one of them late by half, or two. The list's
// silence has a clock: what it misses counts as told 6 s after it began. Its agent answers at once,
// but may be mute once or twice: opened anew after 3 s, 3.8 s and 5.4 s of silence, and told by 6
// s. The third waits out a sign of life.
StreamTimes listTimes() {
    return {milliseconds(3000), milliseconds(800), milliseconds(50), milliseconds(400)};
}
StreamTimes bulletinTimes() {
    return {milliseconds(3000), milliseconds(800), milliseconds(20), milliseconds(500)};
}

// As long again for the answer as for the connection.
Duration probeWithin(Duration connectWithin) {
    return 2 * connectWithin;
}

resp::ListenerLimits listenerLimits(const Bounds &bounds) {
    resp::ListenerLimits out;
    out.connections = bounds.clients;
    out.message.bulkBytes = bounds.bodyBytes;
    out.message.totalBytes = bounds.bodyBytes + 2 * kMostWords;
    return out;
}
resp::Limits replyLimits(const Bounds &bounds) {
    return {kReplyItems, bounds.valueBytes, bounds.valueBytes + kBesideValue, kMostLine};
}

}  // namespace deckcart::platform
