// The socket of an outgoing connection, which carries one call at a time. Connects within a time
// limit and numbers its calls, so that a callback of one call has no effect on a later call.
#pragma once

#include <cstdint>

#include "../base/socket.hpp"
#include "stream_socket.hpp"

namespace deckcart::net {

/// The most bytes that are read from one connection per turn of the event loop, so that it doesn't
/// delay other connections.
constexpr std::size_t kMaxReadBytes = 16 * 1024;

/// As for StreamSocket, handlers must keep the owner alive.
class ClientSocket : public StreamSocket {
  public:
    explicit ClientSocket(asio::io_context &context);

    bool isConnected() const { return connected; }
    /// The number of the present call. Increases with each call and when the socket is closed.
    std::uint64_t callNumber() const { return currentCall; }
    /// Starts a new call: handlers of the previous one have no effect from now on.
    void beginCall() { ++currentCall; }

    /// Connects within the time limit. `handler(bool connected)` is called once from the event
    /// loop, unless the call has ended or the socket was closed before.
    template <class Handler>
    void connect(const asio::ip::tcp::endpoint &to, Duration within, Handler handler) {
        connectWithin(
            socket, timer, to, within,
            [this, startedCall = currentCall, handler = std::move(handler)](bool success) {
                if (isClosed() || connected || currentCall != startedCall)
                    return;
                connected = success;
                handler(success);
            });
    }

    /// Calls `handler()` later from the event loop, unless the present call has ended by then.
    template <class Handler>
    void postInCall(Handler handler) {
        post([this, startedCall = currentCall, handler = std::move(handler)] {
            if (currentCall == startedCall)
                handler();
        });
    }

    /// Closes the socket and ends the present call. Returns false if it was closed before.
    bool closeAndEndCall();

  private:
    asio::steady_timer timer;
    std::uint64_t currentCall = 0;
    bool connected = false;
};

}  // namespace deckcart::net
