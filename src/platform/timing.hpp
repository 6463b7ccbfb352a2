// Timeouts and deadlines of a gateway on the platform: startup, graceful shutdown, watches and
// probes. The reasons for the values are in timing.cpp. Used by the service,
// PlatformControlPlaneClient and RespUpstreamPool. Performs no I/O.
#pragma once

#include "../base/clock.hpp"

namespace deckcart::platform {

/// Timing of startup.
struct StartupPlan {
    Duration listenTimeout{};        ///< maximum wait for the listen address to become free
    Duration listenRetryInterval{};  ///< between attempts to listen
    Duration firstListTimeout{};     ///< afterwards the gateway serves from the last known list
};
StartupPlan startupPlan();

/// Timing of a graceful shutdown; all times count from the signal.
struct ShutdownPlan {
    /// Until then new connections are accepted, since clients may not know of the shutdown yet.
    Duration acceptDeadline{};
    /// Requests still in flight at this time are answered with an error.
    Duration answerDeadline{};
    /// The process exits at this time even if clients have not read the last responses.
    Duration exitDeadline{};
};
/// @param longestTimeout  longest of the routes' timeouts
ShutdownPlan shutdownPlan(Duration longestTimeout);

/// Timing of a WatchStream.
struct WatchTimeouts {
    Duration silence{};  ///< silence of the active connection after which another one is opened
    /// Wait for the first message of a new connection; doubles with each consecutive timeout, up to
    /// `silence`.
    Duration firstMessage{};
    Duration minBackoff{};  ///< reconnect delay after the first failure
    Duration maxBackoff{};
};
WatchTimeouts listTimeouts();
WatchTimeouts rolloutTimeouts();

/// Time limit of a probe, from the start of its connection to the end of its reply.
Duration probeTimeout(Duration connectTimeout);

}  // namespace deckcart::platform
