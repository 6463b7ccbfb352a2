// The times of a platform gateway's start, graceful shutdown, watches and probes, with the reasons
// for their values. Used by the process, the control plane client and the upstream pool. Pure.
#pragma once

#include "../base/clock.hpp"

namespace deckcart::platform {

struct StartupPlan {
    Duration listenTimeout{};        ///< for its address to become free
    Duration listenRetryInterval{};  ///< between attempts to listen meanwhile
    Duration firstListTimeout{};     ///< then it serves from the list as last known
};
StartupPlan startupPlan();

/// A graceful shutdown; each time counts from its signal.
struct ShutdownPlan {
    /// New connections are accepted until then: not every client knows of the shutdown yet.
    Duration acceptFor{};
    /// Requests that are still in flight then are answered as errored.
    Duration answerDeadline{};
    /// The process ends then, whoever has not read the last answers yet.
    Duration exitDeadline{};
};
/// @param longestTimeout  of the routes
ShutdownPlan shutdownPlan(Duration longestTimeout);

struct WatchTimeouts {
    Duration silence{};       ///< of an active connection: another one is opened
    Duration firstMessage{};  ///< of a new connection; doubled at each in a row, up to silence
    Duration minBackoff{};    ///< between reconnects, after the first failure
    Duration maxBackoff{};
};
WatchTimeouts listTimeouts();
WatchTimeouts rolloutTimeouts();

/// From the start of a probe, its connect among it, to the whole of its answer.
Duration probeTimeout(Duration connectTimeout);

}  // namespace deckcart::platform
