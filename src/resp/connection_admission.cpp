#include "connection_admission.hpp"

#include <algorithm>

namespace deckcart::resp {

namespace {

// The higher the value, the sooner a connection is evicted: first one that is closing, then one
// whose command stays incomplete, then one that has never sent bytes, then one that only waits for
// a delayed error, last one that is idle. A connection with unread bytes counts neither as
// incomplete nor as silent nor as idle.
enum EvictionPriority { kNever, kIdle, kRefused, kSilent, kIncomplete, kLingering };

}  // namespace

int evictionPriority(const ConnectionState &connection, const ListenerLimits &limits) {
    if (connection.lingering)
        return kLingering;
    if (connection.inFlight)
        return connection.refused ? kRefused : kNever;
    if (connection.hasUnreadBytes)
        return kNever;
    if (!connection.receivedAny)
        return connection.idleTime >= limits.silentGrace ? kSilent : kNever;
    if (connection.commandStarted)
        return isIncompleteTooLong(connection, limits) ? kIncomplete : kNever;
    return connection.idleTime > limits.idleTimeoutUnderPressure ? kIdle : kNever;
}

std::size_t allowedReadBytes(const HeldCommandBytes &held, const ListenerLimits &limits) {
    const std::size_t readAheadLeft =
        limits.readAheadBytes - std::min(limits.readAheadBytes, held.readAhead);
    if (held.allConnections < limits.commandBytes)
        return readAheadLeft;
    const std::size_t allowanceLeft =
        limits.commandAllowance - std::min(limits.commandAllowance, held.connection);
    return std::min(readAheadLeft, allowanceLeft);
}

std::size_t commandBytesAfterEviction(const ListenerLimits &limits) {
    return limits.commandBytes / 2;
}

bool isIncompleteTooLong(const ConnectionState &connection, const ListenerLimits &limits) {
    return !connection.inFlight && connection.commandStarted &&
           connection.commandAge >= limits.incompleteCommandGrace;
}

bool endsInDrain(const ConnectionState &connection, const ListenerLimits &limits) {
    if (connection.lingering || connection.inFlight || connection.commandStarted ||
        connection.writing)
        return false;
    return connection.receivedAny || connection.idleTime >= limits.newConnectionGrace;
}

TimeoutAction timeoutAction(const ConnectionState &connection, const ListenerLimits &limits,
                            bool underPressure) {
    if (connection.inFlight && connection.errorDue)
        return TimeoutAction::sendError;
    if (connection.lingering)
        return connection.idleTime >= limits.lingerTimeout ? TimeoutAction::close
                                                           : TimeoutAction::none;
    if (connection.writing && connection.writeStallTime > limits.writeStallTimeout)
        return TimeoutAction::reset;
    if (connection.inFlight || connection.writing)
        return TimeoutAction::none;
    if (connection.commandStarted)
        return connection.commandAge > limits.commandTimeout ? TimeoutAction::failIncomplete
                                                             : TimeoutAction::none;
    Duration allowed = underPressure ? limits.idleTimeoutUnderPressure : limits.idleFor;
    if (!connection.receivedAny)
        allowed = limits.firstByteTimeout;
    return connection.idleTime > allowed ? TimeoutAction::linger : TimeoutAction::none;
}

bool isUnderPressure(std::size_t connections, const ListenerLimits &limits) {
    return connections * 2 > limits.connections;
}

}  // namespace deckcart::resp
