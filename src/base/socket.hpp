// Socket operations shared by servers and clients of all protocols. Used by src/http and src/resp.
#pragma once

#include <asio.hpp>
#include <functional>

#include "clock.hpp"

namespace deckcart {

/// How a call on an outgoing connection has ended.
enum class CallEnd {
    complete,        ///< the whole response was received
    connectFailed,   ///< no connection was established, and nothing was sent
    connectionLost,  ///< the connection failed or was closed before the end of the response
    malformed        ///< the response is malformed
};

/// Opens the acceptor in non-blocking mode, binds it and listens. Throws std::system_error.
void listenAt(asio::ip::tcp::acceptor &acceptor, const asio::ip::tcp::endpoint &address);

/// Sets the options of a connected socket: TCP_NODELAY and non-blocking mode.
void configureSocket(asio::ip::tcp::socket &socket);

/// What can be read from a socket. `end`: the peer has closed the connection, or it has failed.
enum class ReadState { nothing, bytes, end };
/// Checks a connected, non-blocking socket for unread bytes without consuming them.
[[nodiscard]] ReadState peekReadState(asio::ip::tcp::socket &socket);

/// Whether the peer of a connection is there. `unknown`: so many bytes are unread that a close may
/// lie behind them without having been received.
enum class PeerState { connected, closed, unknown };
/// Checks a connected socket for a close by the peer, also behind unread bytes, without consuming
/// them.
[[nodiscard]] PeerState peerState(asio::ip::tcp::socket &socket);

/// Connects within a time limit and sets the socket's options by configureSocket(). `done` may be
/// called twice, the second time with false; its owner has to ignore calls that it no longer
/// expects. `done` must keep the owner of the socket and the timer alive.
void connectWithin(asio::ip::tcp::socket &socket, asio::steady_timer &timer,
                   const asio::ip::tcp::endpoint &to, Duration within,
                   std::function<void(bool connected)> done);

}  // namespace deckcart
