// The listening side of RESP2 on Asio: accepts, reads commands within stated limits, answers each
// connection's in the order of its commands. Used by the platform's downstream side; what a command
// means is its owner's business.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>

#include "connection_admission.hpp"

namespace deckcart::resp {

class ServerConnection;

/// One command. Answered once; what is written after the peer has gone goes nowhere. One thread,
/// the loop's.
class Exchange {
  public:
    std::vector<std::string> args;
    std::function<void()> onGone;  ///< the peer has left before the answer

    bool open() const { return !answered && !connection.expired(); }
    /// Looks at the socket: false once the peer has ended its sending, though nobody has read that
    /// yet; then onGone follows on a turn of its own.
    bool peerThere() const;
    void answer(std::string bytes);
    /// It can't be served: an error after limits.refusalAfter, and nothing is read from this peer
    /// until then.
    void refuse(std::string_view words);
    /// Cuts the connection with a reset.
    void abort();

  private:
    friend class ServerConnection;
    std::weak_ptr<ServerConnection> connection;
    std::string reply;
    bool answered = false;
    bool refused = false;
};

/// Listens from its construction until it is destroyed. One thread, the loop's.
class Listener {
  public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;
    /// Listens at once; accepts from open() on. Throws std::system_error where it can't listen.
    Listener(asio::io_context &context, const asio::ip::tcp::endpoint &address,
             const ListenerLimits &limits, Handler handler);
    /// Once.
    void open();
    ~Listener();  // NOLINT(bugprone-exception-escape): as at its definition
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    asio::ip::tcp::endpoint address() const;
    /// Takes what has connected already, and no more. Each connection ends once nothing of it is in
    /// flight, half read or unread; `empty` is called, on a turn of its own, when all have ended.
    void drain(std::function<void()> empty);
    std::size_t connections() const;

    struct Core;

  private:
    std::shared_ptr<Core> core;
};

}  // namespace deckcart::resp
