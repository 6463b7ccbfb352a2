// What every listening and calling side of this project does to its sockets, whatever they speak.
// Used by src/http and src/resp.
#pragma once

#include <asio.hpp>
#include <functional>

#include "clock.hpp"

namespace deckcart {

/// How a call on a connection of ours has ended.
enum class CallEnd {
    complete,       ///< the whole answer came
    connectFailed,  ///< no connection: nothing was handed over
    broken,         ///< the connection failed or closed before the answer's end
    garbage         ///< what came is no answer
};

/// Opens, binds and listens, without blocking. Throws std::system_error.
void listenAt(asio::ip::tcp::acceptor &acceptor, const asio::ip::tcp::endpoint &address);

/// A connected socket as all here use it: nothing waits for more to send, no call blocks.
void settle(asio::ip::tcp::socket &socket);

/// What lies unread in a connected socket; it stays there.
enum class Unread { nothing, bytes, end };
[[nodiscard]] Unread peek(asio::ip::tcp::socket &socket);

/// Connects within the time and settles the socket. `done` may come twice, the later ones false:
/// its owner knows whether it still waits. It keeps alive what owns the socket and the timer.
void connectWithin(asio::ip::tcp::socket &socket, asio::steady_timer &timer,
                   const asio::ip::tcp::endpoint &to, Duration within,
                   std::function<void(bool connected)> done);

}  // namespace deckcart
