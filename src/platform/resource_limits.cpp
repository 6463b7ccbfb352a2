#include "resource_limits.hpp"

#include <algorithm>

#include "commands.hpp"

namespace deckcart::platform {
namespace {

// Sockets reserved for watches, votes and half-closed connections: one in twelve, at least 24.
constexpr std::size_t kMinReservedSockets = 24;
constexpr std::size_t kReservedSocketDivisor = 12;

// 32 KiB per request in flight: most hold far less, some hold two values of 64 KiB.
constexpr std::size_t kRequestsPerMb = 32;
constexpr std::size_t kBytesPerMb = 1048576;

// An id takes 64 bytes in a hash table and a queue: 32 KiB of each MiB.
constexpr std::size_t kEndedRequestIdsPerMb = 512;

// The platform states that values have at most 64 KiB, but values of three times that size have
// been seen. A reply may take 1/64 of the memory, since some tens of replies arrive at a time; a
// command 1/256, since all clients may send oversized commands at once.
constexpr std::size_t kMinValueBytes = 65536;
constexpr std::size_t kMaxValueBytes = 1048576;
constexpr std::size_t kValueMemoryDivisor = 64;
constexpr std::size_t kBodyMemoryDivisor = 256;

// All commands together. A command in flight is held twice, here and for its endpoint.
constexpr std::size_t kCommandMemoryDivisor = 8;

// What a reply holds besides its value: its load report, or the text of an error.
constexpr std::size_t kReplyOverheadBytes = 4096;
constexpr std::size_t kMaxReplyLineBytes = 512;
constexpr std::size_t kMaxReplyItems = 4;  // the protocol uses three

constexpr Duration kMinIdleSweepInterval = std::chrono::milliseconds(50);
constexpr Duration kMaxIdleSweepInterval = std::chrono::seconds(1);
constexpr int kSweepsPerIdleTimeout = 4;

// Some endpoints send a second reply for the same command, up to 3.8 ms after the first in test
// runs (31 times in one of them); network delays vary. On a connection reused too early it would be
// taken for the reply to the next request. Harm: a busy gateway opens some more connections.
constexpr Duration kReuseDelay = std::chrono::milliseconds(10);

}  // namespace

ResourceLimits divideResources(std::size_t sockets, std::size_t memoryMb,
                               std::size_t maxRequestsInFlight, Duration keepAlive) {
    ResourceLimits limits;
    limits.reservedSockets = std::max(kMinReservedSockets, sockets / kReservedSocketDivisor);
    const std::size_t availableSockets =
        sockets > limits.reservedSockets ? sockets - limits.reservedSockets : 2;
    // Clients with requests in flight hold at most a third of all sockets, so endpoints get no more
    // than a third and a twelfth; the rest is for clients that are only connected.
    const std::size_t upstreams = std::min(availableSockets / 2, sockets / 3 + sockets / 12);
    limits.upstreamConnections = std::max<std::size_t>(1, upstreams);
    limits.clientConnections =
        std::max<std::size_t>(1, availableSockets - limits.upstreamConnections);
    limits.maxRequestsInFlight =
        std::max<std::size_t>(1, std::min(maxRequestsInFlight, memoryMb * kRequestsPerMb));
    limits.endedRequestIds = memoryMb * kEndedRequestIdsPerMb;
    const std::size_t memoryBytes = memoryMb * kBytesPerMb;
    limits.valueBytes =
        std::clamp(memoryBytes / kValueMemoryDivisor, kMinValueBytes, kMaxValueBytes);
    limits.bodyBytes = std::clamp(memoryBytes / kBodyMemoryDivisor, kMinValueBytes, kMaxValueBytes);
    limits.commandBytes = memoryBytes / kCommandMemoryDivisor;
    // An endpoint closes an idle connection after its keep-alive time at the latest; a request
    // written at that moment would be lost.
    limits.upstreamIdleTimeout = keepAlive / 2;
    limits.idleSweepInterval = std::clamp(limits.upstreamIdleTimeout / kSweepsPerIdleTimeout,
                                          kMinIdleSweepInterval, kMaxIdleSweepInterval);
    limits.reuseDelay = kReuseDelay;
    return limits;
}

std::size_t clientConnectionLimit(const ResourceLimits &limits, std::size_t upstreamsInUse) {
    const std::size_t unused =
        limits.upstreamConnections - std::min(limits.upstreamConnections, upstreamsInUse);
    return limits.clientConnections + unused / 2;
}

std::size_t upstreamConnectionLimit(const ResourceLimits &limits, std::size_t clients) {
    const std::size_t lent = clients - std::min(clients, limits.clientConnections);
    return limits.upstreamConnections - std::min(lent, limits.upstreamConnections);
}

resp::ListenerLimits listenerLimits(const ResourceLimits &limits) {
    resp::ListenerLimits listener;
    listener.connections = limits.clientConnections;
    listener.commandBytes = limits.commandBytes;
    listener.message.bulkBytes = limits.bodyBytes;
    listener.message.totalBytes = limits.bodyBytes + 2 * kMaxArgumentBytes;
    return listener;
}

resp::Limits replyLimits(const ResourceLimits &limits) {
    return {kMaxReplyItems, limits.valueBytes, limits.valueBytes + kReplyOverheadBytes,
            kMaxReplyLineBytes};
}

}  // namespace deckcart::platform
