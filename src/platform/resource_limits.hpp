// Divides what a gateway's machine allows, sockets and memory, between its uses. Called once by the
// process at its start. Pure.
#pragma once

#include "../resp/connection_admission.hpp"

namespace deckcart::platform {

struct ResourceLimits {
    std::size_t clientConnections = 0;
    std::size_t upstreamConnections = 0;  ///< to endpoints, probes among them
    std::size_t reservedSockets = 0;  ///< discovery, control, signals, logs, what is being closed
    std::size_t maxRequestsInFlight = 0;
    std::size_t valueBytes = 0;      ///< of an endpoint's answer at most
    std::size_t bodyBytes = 0;       ///< of a client's command at most
    Duration upstreamIdleTimeout{};  ///< an idle connection to an endpoint is kept so long
    Duration idleSweepInterval{};    ///< how often idle connections are looked through
    /// An idle connection is not used again sooner: what comes behind an answer shows itself.
    Duration reuseDelay{};
};

/// @param sockets  that the process may hold open
/// @param maxRequestsInFlight  that the settings allow; a small memory allows fewer
/// @param keepAlive  how long endpoints' machines keep an idle connection
ResourceLimits divideResources(std::size_t sockets, std::size_t memoryMb,
                               std::size_t maxRequestsInFlight, Duration keepAlive);

resp::ListenerLimits listenerLimits(const ResourceLimits &limits);
resp::Limits replyLimits(const ResourceLimits &limits);

}  // namespace deckcart::platform
