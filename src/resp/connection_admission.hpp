// Which of a listener's connections is at the end of its time, and which makes room when all
// places are taken. Called by the listener and its connections. Pure.
#pragma once

#include "../base/clock.hpp"
#include "message.hpp"

namespace deckcart::resp {

/// What may come through a listener, each with what it guards against. Times are kept to the
/// listener's sweep, a tenth of a second.
struct ListenerLimits {
    /// Beyond it a connection that is silent or idle makes room; else accepting waits.
    std::size_t connections = 1024;
    /// A message over it: an error and the connection's end.
    Limits message;
    /// Commands of one connection in flight; the listener reads on as they end.
    std::size_t pipelined = 64;
    /// While no command is taken up: the peer's close is seen behind them.
    std::size_t readAheadBytes = 16384;
    /// Of answers for a slow reader; the listener reads on as they go.
    std::size_t waitingBytes = 256 * 1024;
    /// From connecting to the first byte.
    Duration silentFor = std::chrono::milliseconds(1500);
    /// From a command's first byte to its last.
    Duration messageWithin = std::chrono::milliseconds(1500);
    /// Between commands.
    Duration idleFor = std::chrono::seconds(30);
    /// The same from half of the connections on.
    Duration idleForUnderPressure = std::chrono::seconds(2);
    /// A reader that takes nothing for so long is cut off.
    Duration slowPeerFor = std::chrono::seconds(5);
    /// Before the error for what can't be served. Guards against floods that come back at once.
    Duration refusalAfter = std::chrono::milliseconds(250);
    /// A connection as young as this may still ask when a drain begins.
    Duration newcomerFor = std::chrono::milliseconds(300);
    /// For a peer to read the last answer before the end.
    Duration lingerFor = std::chrono::milliseconds(500);
};

/// What is known of a connection at one moment.
struct ConnectionState {
    bool inFlight = false;          ///< it has commands that are not answered,
    bool refused = false;           ///< and the first of them waits for its error,
    bool errorDue = false;          ///< whose time has come
    bool lingering = false;         ///< the last answer was written and its sending side is shut
    bool spoke = false;             ///< bytes of it were read
    bool unread = false;            ///< bytes of it wait to be read
    bool begun = false;             ///< a part of a command was read
    bool writing = false;           ///< it has not taken all that was written to it
    Duration quietFor{};            ///< since it last asked, or was answered
    Duration begunFor{};            ///< since the command's first byte
    Duration streamStallTimeout{};  ///< since it last took something
};

/// In a drain: nothing of it is in flight or half read, and it is no newcomer that is about to ask.
bool endsInDrain(const ConnectionState &connection, const ListenerLimits &limits);

/// The higher, the sooner it makes room; 0: it can't.
int evictionPriority(const ConnectionState &connection, const ListenerLimits &limits);

/// What a timeout that is up asks for: the error that is due, a reset, an orderly close, a close
/// after the peer has read the last answer, or an error for a command that stays incomplete.
enum class TimeoutAction { none, sendError, reset, close, linger, failIncomplete };
TimeoutAction timeoutAction(const ConnectionState &connection, const ListenerLimits &limits,
                            bool underPressure);

/// More than half of the places are taken.
bool isUnderPressure(std::size_t connections, const ListenerLimits &limits);

}  // namespace deckcart::resp
