// The socket of a calling connection, which carries one call at a time: connects within a time, and
// numbers its calls, so that what was begun for one call does nothing in a later one.
#pragma once

#include <cstdint>

#include "../base/socket.hpp"
#include "stream_socket.hpp"

namespace deckcart::net {

/// A turn's share of one connection, in bytes: others wait no longer.
constexpr std::size_t kReadAtOnce = 16 * 1024;

/// As for StreamSocket, the handlers hold the owner.
class ClientSocket : public StreamSocket {
  public:
    explicit ClientSocket(asio::io_context &context);

    bool isConnected() const { return connected; }
    /// Grows with each call, and once it is closed.
    std::uint64_t callNumber() const { return number; }
    void beginCall() { ++number; }

    /// Connects within the time; `handler(bool connected)` comes once, from the loop, unless the
    /// call has ended or the socket was closed before.
    template <class Handler>
    void connect(const asio::ip::tcp::endpoint &to, Duration within, Handler handler) {
        connectWithin(socket, timer, to, within,
                      [this, began = number, handler = std::move(handler)](bool done) {
                          if (isClosed() || connected || number != began)
                              return;
                          connected = done;
                          handler(done);
                      });
    }

    /// Calls `handler()` on a turn of its own, unless the present call has ended by then.
    template <class Handler>
    void postInCall(Handler handler) {
        post([this, began = number, handler = std::move(handler)] {
            if (number == began)
                handler();
        });
    }

    /// Ends the present call too. False if it was closed before.
    bool shut();

  private:
    asio::steady_timer timer;
    std::uint64_t number = 0;
    bool connected = false;
};

}  // namespace deckcart::net
