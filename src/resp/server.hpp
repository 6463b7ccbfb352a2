// The listening side of RESP2 on Asio: accepts, reads commands within stated limits, answers each
// connection's in the order of its commands. What a command means is its owner's business.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>

#include "connection_admission.hpp"

namespace deckcart::resp {

class ServerConnection;

// One command. Answered once; what is written after the peer has gone goes nowhere.
class Exchange {
  public:
    std::vector<std::string> args;
    std::function<void()> onGone;  // the peer has left before the answer

    bool open() const { return !answered && !connection.expired(); }
    // Looks at the socket: false once the peer has ended its sending, though nobody has read that
    // yet; then onGone follows on a turn of its own.
    bool peerThere() const;
    void answer(std::string bytes);
    // It can't be served: an error, not at once, and nothing is read from this peer until then.
    void refuse(std::string_view words);
    void abort();  // cuts the connection

  private:
    friend class ServerConnection;
    std::weak_ptr<ServerConnection> connection;
    std::string reply;
    bool answered = false, refused = false;
};

class Listener {
  public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;
    // Listens at once; accepts from open() on.
    Listener(asio::io_context &context, const asio::ip::tcp::endpoint &address,
             const ListenerLimits &limits, Handler handler);
    void open();  // once
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    asio::ip::tcp::endpoint address() const;
    // Takes what has connected already, and no more. Each connection ends once nothing of it is in
    // hand, half read or unread; `empty` is called, on a turn of its own, when all have ended.
    void drain(std::function<void()> empty);
    std::size_t connections() const;

    struct Core;

  private:
    std::shared_ptr<Core> core;
};

}  // namespace deckcart::resp
