// RESP2 client connection on Asio. It carries one command at a time and records whether the socket
// accepted the command's last byte. It never sends a command twice. Used by the platform's pool of
// upstream connections.
#pragma once

#include <memory>

#include "../net/client_socket.hpp"
#include "message.hpp"

namespace deckcart::resp {

/// Owned by shared pointers; pending socket operations keep it alive. Single-threaded.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
  public:
    using ReplyCallback = std::function<void(CallEnd, Value)>;
    using CommandBuilder = std::function<std::string()>;
    ClientConnection(asio::io_context &context, Limits limits);

    /// Connects, unless connected already, then calls `buildCommand` and sends the command that it
    /// returns. If it returns an empty string, the call ends with CallEnd::connectFailed. Calls
    /// `onReply` once, never from within call(), unless drop() is called before.
    void call(const asio::ip::tcp::endpoint &to, Duration connectTimeout,
              CommandBuilder buildCommand, ReplyCallback onReply);
    /// Closes the connection at once; no callback is called after that.
    void drop();
    /// Connected, idle and fit for another call.
    bool reusable() const {
        return stream.isConnected() && !stream.isClosed() && !onReply && !mustClose;
    }
    /// Checks an idle connection: if the peer has closed it or sent bytes, drops it and returns
    /// false.
    bool stillQuiet();
    /// Processes bytes of the reply that have been received already; may call the callback.
    void look();
    /// Whether bytes of a reply were received.
    bool answerBegun() const { return parser.started() || parser.faulty(); }
    /// Whether the socket has accepted the current command's last byte. A command without its last
    /// byte can't be executed.
    bool startedSending() const { return !outgoing.empty() && writtenBytes == outgoing.size(); }
    /// Grows with each call, and when the connection is closed.
    std::uint64_t callNumber() const { return stream.callNumber(); }

    std::function<void()> onIdleClosed;  ///< called after the connection was closed while idle
    Duration idleSince{};                ///< set and read by the owner, not used here

  private:
    void buildAndSend();
    void send();
    void awaitWritable();
    void awaitRead();
    void onReadable();
    void finish(CallEnd outcome, Value value = {});
    void close();

    net::ClientSocket stream;
    Parser parser;
    CommandBuilder buildCommand;
    ReplyCallback onReply;
    std::string outgoing;
    std::size_t writtenBytes = 0;
    bool mustClose = false;  // received more than one reply
};

}  // namespace deckcart::resp
