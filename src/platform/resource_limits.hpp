// Divides the sockets and the memory that a gateway may use between their purposes. Called once at
// startup. Performs no I/O.
#pragma once

#include "../resp/connection_admission.hpp"

namespace deckcart::platform {

/// The resulting limits.
struct ResourceLimits {
    /// Clients may always hold this many; see also clientConnectionLimit().
    std::size_t clientConnections = 0;
    std::size_t upstreamConnections = 0;  ///< to endpoints, including probes
    /// For discovery, control service, signals, logs and connections being closed.
    std::size_t reservedSockets = 0;
    std::size_t maxRequestsInFlight = 0;
    std::size_t endedRequestIds = 0;  ///< ids kept of requests that have ended
    std::size_t valueBytes = 0;       ///< maximum size of the value in an endpoint's reply
    std::size_t commandBytes = 0;     ///< of the clients' commands, all together
    std::size_t bodyBytes = 0;        ///< maximum size of the body of a client's command
    Duration upstreamIdleTimeout{};   ///< how long an idle connection to an endpoint is kept
    Duration idleSweepInterval{};     ///< how often idle connections are checked
    /// Minimum idle time before a connection is reused: surplus bytes behind a reply are detected
    /// meanwhile.
    Duration reuseDelay{};
};

/// @param sockets  number of sockets that the process may hold open
/// @param memoryMb  memory of the process in MiB
/// @param maxRequestsInFlight  limit of the settings; lowered if the memory is too small for it
/// @param keepAlive  how long endpoints keep an idle connection open
ResourceLimits divideResources(std::size_t sockets, std::size_t memoryMb,
                               std::size_t maxRequestsInFlight, Duration keepAlive);

/// How many connections clients may hold while calls to endpoints use `upstreamsInUse`: beyond
/// their own share, half of what endpoints leave unused. The other half is kept for the requests
/// that may come on these connections.
std::size_t clientConnectionLimit(const ResourceLimits &limits, std::size_t upstreamsInUse);
/// How many connections to endpoints may be open, in use and idle, while clients hold `clients`:
/// what clients hold beyond their own share is taken from it.
std::size_t upstreamConnectionLimit(const ResourceLimits &limits, std::size_t clients);

/// Limits for the client listener.
resp::ListenerLimits listenerLimits(const ResourceLimits &limits);
/// Limits for parsing endpoints' replies.
resp::Limits replyLimits(const ResourceLimits &limits);

}  // namespace deckcart::platform
