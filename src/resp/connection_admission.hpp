// Decides which of a listener's connections have timed out, and which one is evicted for a new one
// at the connection limit. Called by the listener and its connections. Performs no I/O.
#pragma once

#include "../base/clock.hpp"
#include "message.hpp"

namespace deckcart::resp {

using SteadyTime = std::chrono::steady_clock::time_point;

/// Limits of a listener. Timeouts are checked by its periodic sweep, every 100 ms.
struct ListenerLimits {
    /// At this number of open connections, one that can be spared is evicted (see
    /// evictionPriority()); if there is none, accepting waits.
    std::size_t connections = 1024;
    /// A message over these limits gets an error, and the connection is closed.
    Limits message;
    /// Commands in flight of one connection; at the limit, parsing pauses until one is answered.
    std::size_t pipelined = 64;
    /// Bytes read ahead while parsing is paused; at the limit, reading pauses.
    std::size_t readAheadBytes = 16384;
    /// Bytes of commands held for all connections together: read ahead, read in part and in flight.
    /// At the limit, reading pauses on connections that hold `commandAllowance` or more, and
    /// connections that hold an incomplete command are closed after `incompleteCommandGrace`.
    std::size_t commandBytes = 16 * 1024 * 1024;
    /// Bytes of commands that each connection may always hold; a usual command has fewer.
    std::size_t commandAllowance = 4096;
    /// Commands of one connection between two sweeps, 100 ms apart; at the limit, parsing pauses
    /// until the next sweep. Commands that are answered at once would take up all CPU time
    /// otherwise.
    std::size_t commandsPerSweep = 128;
    /// Unsent bytes of replies; at the limit, parsing pauses until the peer reads them.
    std::size_t waitingBytes = 256 * 1024;
    /// Timeout from accepting a connection to its first byte.
    Duration firstByteTimeout = std::chrono::milliseconds(1500);
    /// Timeout from a command's first byte to its last, while there are free places.
    Duration commandTimeout = std::chrono::milliseconds(1500);
    /// At the connection limit or the limit of bytes, a connection may be evicted this long after
    /// its command's first byte if the last one has not come. Clients send a command at once; those
    /// of its bytes that were sent and not read yet protect the connection.
    Duration incompleteCommandGrace = std::chrono::milliseconds(100);
    /// The same for a new connection that has sent nothing, from its accepting.
    Duration silentGrace = std::chrono::milliseconds(20);
    /// Timeout between commands.
    Duration idleFor = std::chrono::seconds(30);
    /// The same while more than half of `connections` are open.
    Duration idleTimeoutUnderPressure = std::chrono::seconds(2);
    /// A connection is reset if its peer reads nothing for this time.
    Duration writeStallTimeout = std::chrono::seconds(5);
    /// Delay before the error for a refused command. Without it, clients that retry at once would
    /// flood the gateway.
    Duration refusalDelay = std::chrono::milliseconds(250);
    /// During a drain, a new connection stays open for this time if it has sent no command yet.
    Duration newConnectionGrace = std::chrono::milliseconds(300);
    /// Time for the peer to read the last reply before the connection is closed.
    Duration lingerTimeout = std::chrono::milliseconds(500);
};

/// State of a connection at one moment.
struct ConnectionState {
    bool inFlight = false;        ///< it has commands without a reply
    bool refused = false;         ///< the first command in flight was refused; its error is delayed
    bool errorDue = false;        ///< the delay of that error is over
    bool lingering = false;       ///< the last reply was sent and the sending side is shut down
    bool receivedAny = false;     ///< bytes were read from it
    bool hasUnreadBytes = false;  ///< the socket holds bytes that were not read yet
    bool commandStarted = false;  ///< a command was read in part
    bool writing = false;         ///< the socket has not accepted all reply bytes yet
    Duration idleTime{};          ///< since its last input or reply, or since lingering began
    Duration commandAge{};        ///< since the current command's first byte
    Duration writeStallTime{};    ///< since the socket last accepted bytes
};

/// Whether the connection can be closed during a drain: no command is in flight or read in part,
/// all replies are sent, and it is not a new connection that may be about to send its first
/// command.
bool endsInDrain(const ConnectionState &connection, const ListenerLimits &limits);

/// Priority for eviction: connections with a higher value are evicted first, those with 0 never.
int evictionPriority(const ConnectionState &connection, const ListenerLimits &limits);

/// Bytes of commands held at one moment.
struct HeldCommandBytes {
    std::size_t readAhead = 0;       ///< of one connection, not parsed yet
    std::size_t connection = 0;      ///< of this connection: read ahead, read in part and in flight
    std::size_t allConnections = 0;  ///< the same of all connections of the listener
};

/// The most bytes that a connection may read now; 0: reading pauses.
std::size_t allowedReadBytes(const HeldCommandBytes &held, const ListenerLimits &limits);

/// At the limit of command bytes, incomplete commands are given up until fewer bytes than these are
/// held.
std::size_t commandBytesAfterEviction(const ListenerLimits &limits);

/// Whether an incomplete command may be given up for others: its connection has no command in
/// flight and its first byte came longer ago than `incompleteCommandGrace`.
bool isIncompleteTooLong(const ConnectionState &connection, const ListenerLimits &limits);

/// Action for an expired timeout: send the delayed error, reset, close gracefully, close after the
/// peer has had time to read the last reply, or send an error for an incomplete command.
enum class TimeoutAction { none, sendError, reset, close, linger, failIncomplete };
/// Returns the action for the connection's state, none if no timeout has expired.
TimeoutAction timeoutAction(const ConnectionState &connection, const ListenerLimits &limits,
                            bool underPressure);

/// Whether more than half of the allowed connections are open.
bool isUnderPressure(std::size_t connections, const ListenerLimits &limits);

}  // namespace deckcart::resp
