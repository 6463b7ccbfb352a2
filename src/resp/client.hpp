// The calling side of RESP2 on Asio: one connection that carries one command at a time and knows
// whether the command's last byte was handed to the socket. Sends nothing again.
#pragma once

#include <memory>

#include "../base/socket.hpp"
#include "message.hpp"

namespace deckcart::resp {

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
  public:
    using Done = std::function<void(CallEnd, Value)>;
    ClientConnection(asio::io_context &context, Limits limits);

    // Connects within the time if it is not connected, then sends what `bytes` gives at that
    // moment; where that is nothing, the call ends as one that could not be connected. Calls back
    // once, never from within, unless dropped before.
    using Bytes = std::function<std::string()>;
    void call(const asio::ip::tcp::endpoint &to, Duration connectWithin, Bytes bytes, Done done);
    void drop();  // closes at once; no call back any more
    bool reusable() const { return connected && !closed && !done && !tainted; }
    // Looks whether the peer has closed or spoken while idle: then it is dropped and false.
    bool stillQuiet();
    void look();  // reads what has come already; may call back
    bool answerBegun() const {
        return parser.begun() || parser.faulty();
    }  // bytes of a reply have come
    // The present command's last byte.
    bool startedSending() const { return !outgoing.empty() && written == outgoing.size(); }
    std::uint64_t callNumber() const { return callNo; }
    std::function<void()> onIdleClosed;  // it has closed, or spoken, while idle
    Duration idleSince{};

  private:
    void begin();
    void send();
    void awaitRead();
    void readable();
    void finish(CallEnd outcome, Value value = {});
    void shut();

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    Parser parser;
    Bytes bytes;
    Done done;
    std::string outgoing;
    std::size_t written = 0;
    bool connected = false, closed = false, reading = false, tainted = false;
    std::uint64_t callNo = 0;
};

}  // namespace deckcart::resp
