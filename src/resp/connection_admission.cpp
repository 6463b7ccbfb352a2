#include "connection_admission.hpp"

namespace deckcart::resp {

namespace {

// What makes room first: one that is ending, one that never spoke, one that only waits for an
// error, one that has nothing to ask. One whose bytes wait to be read is not silent.
enum EvictionPriority { kNever, kIdle, kRefused, kSilent, kLingering };

}  // namespace

int evictionPriority(const ConnectionState &connection, const ListenerLimits &limits) {
    if (connection.lingering)
        return kLingering;
    if (connection.inFlight)
        return connection.refused ? kRefused : kNever;
    if (connection.unread)
        return kNever;
    if (!connection.spoke)
        return kSilent;
    const bool isIdle = !connection.begun && connection.quietFor > limits.idleForUnderPressure;
    return isIdle ? kIdle : kNever;
}

bool endsInDrain(const ConnectionState &connection, const ListenerLimits &limits) {
    if (connection.lingering || connection.inFlight || connection.begun || connection.writing)
        return false;
    return connection.spoke || connection.quietFor >= limits.newcomerFor;
}

TimeoutAction timeoutAction(const ConnectionState &connection, const ListenerLimits &limits,
                            bool underPressure) {
    if (connection.inFlight && connection.errorDue)
        return TimeoutAction::sendError;
    if (connection.lingering)
        return connection.quietFor >= limits.lingerFor ? TimeoutAction::close : TimeoutAction::none;
    if (connection.writing && connection.streamStallTimeout > limits.slowPeerFor)
        return TimeoutAction::reset;
    if (connection.inFlight || connection.writing)
        return TimeoutAction::none;
    if (connection.begun)
        return connection.begunFor > limits.messageWithin ? TimeoutAction::failIncomplete
                                                          : TimeoutAction::none;
    Duration allowed = underPressure ? limits.idleForUnderPressure : limits.idleFor;
    if (!connection.spoke)
        allowed = limits.silentFor;
    return connection.quietFor > allowed ? TimeoutAction::linger : TimeoutAction::none;
}

bool isUnderPressure(std::size_t connections, const ListenerLimits &limits) {
    return connections * 2 > limits.connections;
}

}  // namespace deckcart::resp
