// What every connection of ours, listening or calling, does with its socket whatever it speaks:
// waiting for bytes, ending in order or by a reset. Used by the connections of http and resp.
#pragma once

#include <asio.hpp>
#include <utility>

namespace deckcart::net {

/// How a connection is ended: after what was written has gone out, or at once, with a reset (RST)
/// that tells the peer of it.
enum class Closing { orderly, reset };

/// The socket of one connection, with what is known of it. Its owner lives at least as long as the
/// handlers that it passes: they hold it (std::enable_shared_from_this). One thread.
class StreamSocket {
  public:
    explicit StreamSocket(asio::ip::tcp::socket underlying) : socket(std::move(underlying)) {}

    /// One that is to connect yet.
    explicit StreamSocket(asio::io_context &context) : socket(context) {}

    bool isClosed() const { return closed; }
    /// A wait begun by awaitRead() has not ended.
    bool isAwaitingRead() const { return awaitingRead; }

    /// Calls `handler(asio::error_code)` once, from the loop, when there are bytes to read, the
    /// peer has ended, or waiting has failed; not at all once the socket was closed. One at a time.
    template <class Handler>
    void awaitRead(Handler handler) {
        awaitingRead = true;
        socket.async_wait(asio::ip::tcp::socket::wait_read,
                          [this, handler = std::move(handler)](asio::error_code fault) {
                              awaitingRead = false;
                              if (!closed)
                                  handler(fault);
                          });
    }

    /// Calls `handler()` on a turn of its own.
    template <class Handler>
    void post(Handler handler) {
        asio::post(socket.get_executor(), std::move(handler));
    }

    /// False if it was closed before.
    bool close(Closing how);

    asio::ip::tcp::socket socket;

  private:
    bool closed = false;
    bool awaitingRead = false;
};

}  // namespace deckcart::net
