// The socket of a connection, incoming or outgoing, independent of the protocol: waiting for bytes,
// and closing in an orderly way or by a reset. Used by the connections of src/http and src/resp.
#pragma once

#include <asio.hpp>
#include <utility>

#include "../base/socket.hpp"

namespace deckcart::net {

/// How a connection is closed. `graceful`: written bytes are still sent before it ends. `reset`: it
/// ends at once, and the peer is sent a reset (RST).
enum class CloseMode { graceful, reset };

/// The socket of one connection and its state. Handlers must keep the owner of the socket alive
/// (std::enable_shared_from_this). Not thread-safe.
class StreamSocket {
  public:
    /// Takes over a connected socket.
    explicit StreamSocket(asio::ip::tcp::socket underlying) : socket(std::move(underlying)) {}

    /// Creates a socket that is not connected yet.
    explicit StreamSocket(asio::io_context &context) : socket(context) {}

    bool isClosed() const { return closed; }
    /// Whether a wait started by awaitRead() is pending.
    bool isAwaitingRead() const { return awaitingRead; }

    /// See deckcart::peerState(); `closed` if this side has closed the socket.
    [[nodiscard]] PeerState peerState();

    /// Calls `handler(asio::error_code)` once from the event loop when there are bytes to read, the
    /// peer has closed the connection, or waiting has failed. The handler is not called after the
    /// socket was closed. Only one wait may be pending.
    template <class Handler>
    void awaitRead(Handler handler) {
        awaitingRead = true;
        socket.async_wait(asio::ip::tcp::socket::wait_read,
                          [this, handler = std::move(handler)](asio::error_code error) {
                              awaitingRead = false;
                              if (!closed)
                                  handler(error);
                          });
    }

    /// Calls `handler()` later from the event loop.
    template <class Handler>
    void post(Handler handler) {
        asio::post(socket.get_executor(), std::move(handler));
    }

    /// Closes the socket. Returns false if it was closed before.
    bool close(CloseMode how);

    asio::ip::tcp::socket socket;

  private:
    bool closed = false;
    bool awaitingRead = false;
};

}  // namespace deckcart::net
