#include "resource_limits.hpp"

#include <algorithm>

#include "commands.hpp"

namespace deckcart::platform {
namespace {

// Sockets kept for streams, votes and half-closed connections: one in twelve, 24 at least.
constexpr std::size_t kLeastReservedSockets = 24;
constexpr std::size_t kReservedSocketPart = 12;

// 32 KiB a request: most hold far less, some two values of 64 KiB.
constexpr std::size_t kRequestsPerMb = 32;
constexpr std::size_t kBytesPerMb = 1048576;

// Values are stated to hold 64 KiB at most, but days have shown three times that. One in 64 of the
// memory for an answer, as some tens come at a time; one in 256 for a command, as all clients may
// be bad ones at once.
constexpr std::size_t kLeastValueBytes = 65536;
constexpr std::size_t kMaxValueBytes = 1048576;
constexpr std::size_t kAnswersAtOnce = 64;
constexpr std::size_t kCommandsAtOnce = 256;

// Of a reply beside its value: its load report, and an error's text.
constexpr std::size_t kReplyOverheadBytes = 4096;
constexpr std::size_t kMaxReplyLineBytes = 512;
constexpr std::size_t kMaxReplyItems = 4;  // three are stated

constexpr Duration kLeastIdleSweepInterval = std::chrono::milliseconds(50);
constexpr Duration kMaxIdleSweepInterval = std::chrono::seconds(1);
constexpr int kSweepsPerIdleTimeout = 4;

// What comes behind an answer came up to 3.8 ms later on the days that play it (31 of one day); a
// network's delays differ. Taken for an answer it would be another request's. Harm: some more
// connections where a gateway is busy.
constexpr Duration kReuseDelay = std::chrono::milliseconds(10);

}  // namespace

ResourceLimits divideResources(std::size_t sockets, std::size_t memoryMb,
                               std::size_t maxRequestsInFlight, Duration keepAlive) {
    ResourceLimits limits;
    limits.reservedSockets = std::max(kLeastReservedSockets, sockets / kReservedSocketPart);
    const std::size_t usable =
        sockets > limits.reservedSockets ? sockets - limits.reservedSockets : 2;
    // Clients with requests hold a third of all at most; the others are room for those who only
    // stay connected.
    const std::size_t upstreams = std::min(usable / 2, sockets / 3 + sockets / 12);
    limits.upstreamConnections = std::max<std::size_t>(1, upstreams);
    limits.clientConnections = std::max<std::size_t>(1, usable - limits.upstreamConnections);
    limits.maxRequestsInFlight =
        std::max<std::size_t>(1, std::min(maxRequestsInFlight, memoryMb * kRequestsPerMb));
    const std::size_t memoryBytes = memoryMb * kBytesPerMb;
    limits.valueBytes = std::clamp(memoryBytes / kAnswersAtOnce, kLeastValueBytes, kMaxValueBytes);
    limits.bodyBytes = std::clamp(memoryBytes / kCommandsAtOnce, kLeastValueBytes, kMaxValueBytes);
    // The other side closes at its keep-alive at the latest: a request written then would be lost.
    limits.upstreamIdleTimeout = keepAlive / 2;
    limits.idleSweepInterval = std::clamp(limits.upstreamIdleTimeout / kSweepsPerIdleTimeout,
                                          kLeastIdleSweepInterval, kMaxIdleSweepInterval);
    limits.reuseDelay = kReuseDelay;
    return limits;
}

resp::ListenerLimits listenerLimits(const ResourceLimits &limits) {
    resp::ListenerLimits out;
    out.connections = limits.clientConnections;
    out.message.bulkBytes = limits.bodyBytes;
    out.message.totalBytes = limits.bodyBytes + 2 * kMaxArgumentBytes;
    return out;
}

resp::Limits replyLimits(const ResourceLimits &limits) {
    return {kMaxReplyItems, limits.valueBytes, limits.valueBytes + kReplyOverheadBytes,
            kMaxReplyLineBytes};
}

}  // namespace deckcart::platform
