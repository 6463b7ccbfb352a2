// The calling side of RESP2 on Asio: one connection that carries one command at a time and knows
// whether the command's last byte was handed to the socket. Sends nothing again. Used by the
// platform's pool of upstream connections.
#pragma once

#include <memory>

#include "../net/client_socket.hpp"
#include "message.hpp"

namespace deckcart::resp {

/// Held by shared pointers: operations on its socket keep it alive. One thread.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
  public:
    using Done = std::function<void(CallEnd, Value)>;
    using Bytes = std::function<std::string()>;
    ClientConnection(asio::io_context &context, Limits limits);

    /// Connects within the time if it is not connected, then sends what `bytes` gives at that
    /// moment; where that is nothing, the call ends as one that could not be connected. Calls
    /// `done` once, never from within, unless dropped before.
    void call(const asio::ip::tcp::endpoint &to, Duration connectWithin, Bytes bytes, Done done);
    /// Closes at once; no callback any more.
    void drop();
    bool reusable() const {
        return stream.isConnected() && !stream.isClosed() && !done && !tainted;
    }
    /// Looks whether the peer has closed or spoken while idle: then it is dropped and false.
    bool stillQuiet();
    /// Reads what has come already; may call back.
    void look();
    /// Bytes of a reply have come.
    bool answerBegun() const { return parser.begun() || parser.faulty(); }
    /// The socket took the present command's last byte.
    bool startedSending() const { return !outgoing.empty() && writtenBytes == outgoing.size(); }
    std::uint64_t callNumber() const { return stream.callNumber(); }

    std::function<void()> onIdleClosed;  ///< the peer has closed, or spoken, while idle
    Duration idleSince{};                ///< set and read by its owner

  private:
    void begin();
    void send();
    void awaitWritable();
    void awaitRead();
    void readable();
    void finish(CallEnd outcome, Value value = {});
    void shut();

    net::ClientSocket stream;
    Parser parser;
    Bytes bytes;
    Done done;
    std::string outgoing;
    std::size_t writtenBytes = 0;
    bool tainted = false;  // more came than one reply
};

}  // namespace deckcart::resp
