#include "client.hpp"

#include <array>

namespace deckcart::resp {

using asio::ip::tcp;

constexpr std::size_t kReadAtOnce =
    16 * 1024;  // a turn's share of one connection: others wait no longer

ClientConnection::ClientConnection(asio::io_context &context, Limits limits)
    : socket(context), timer(context), parser(Parser::What::reply, limits) {}

void ClientConnection::call(const tcp::endpoint &to, Duration within, Bytes what, Done tell) {
    done = std::move(tell), bytes = std::move(what), outgoing.clear(), written = 0;
    const auto no = ++callNo;
    if (connected)
        return begin();
    connectWithin(socket, timer, to, within, [self = shared_from_this(), no](bool made) {
        if (self->closed || self->connected || self->callNo != no)
            return;
        if (!made)
            return self->finish(CallEnd::connectFailed);
        self->connected = true;
        // What comes before anything was asked would be taken for the answer.
        if (peek(self->socket) != Unread::nothing)
            return self->finish(CallEnd::connectFailed);
        self->begin();
    });
}

void ClientConnection::begin() {
    const Bytes build = std::exchange(bytes, nullptr);
    outgoing = build();
    if (!outgoing.empty())
        return send();
    asio::post(socket.get_executor(), [self = shared_from_this(), no = callNo] {
        if (self->callNo == no)
            self->finish(CallEnd::connectFailed);
    });
}

void ClientConnection::send() {
    asio::error_code fault;
    while (written < outgoing.size() && !fault)
        written += socket.write_some(
            asio::buffer(outgoing.data() + written, outgoing.size() - written), fault);
    awaitRead();
    if (fault && fault != asio::error::would_block) {
        asio::post(socket.get_executor(), [self = shared_from_this(), no = callNo] {
            if (self->callNo == no)
                self->finish(CallEnd::broken);
        });
        return;
    }
    if (startedSending())
        return;
    socket.async_wait(tcp::socket::wait_write,
                      [self = shared_from_this(), no = callNo](asio::error_code bad) {
                          if (self->closed || self->callNo != no)
                              return;
                          if (bad)
                              return self->finish(CallEnd::broken);
                          self->send();
                      });
}

void ClientConnection::awaitRead() {
    if (reading || closed)
        return;
    reading = true;
    socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](asio::error_code fault) {
        self->reading = false;
        if (self->closed)
            return;
        if (fault)
            return self->finish(CallEnd::broken);
        self->readable();
    });
}

void ClientConnection::readable() {
    std::array<char, kReadAtOnce> buffer;
    asio::error_code fault;
    const auto n = socket.read_some(asio::buffer(buffer), fault);
    if (fault == asio::error::would_block)
        return awaitRead();
    if (fault)
        return finish(CallEnd::broken);
    if (!done)
        return shut();  // an idle peer that speaks is out of step
    const auto used = parser.feed({buffer.data(), n});
    if (parser.faulty())
        return finish(CallEnd::garbage);
    if (!parser.done())
        return awaitRead();
    if (used < n)
        tainted = true;  // more than belongs to the reply: the reply is good, the connection not
    const auto self = shared_from_this();
    finish(CallEnd::complete, parser.take());
    awaitRead();
}

void ClientConnection::look() {
    if (!connected || closed || !done || !startedSending())
        return;
    const auto self = shared_from_this();
    readable();
}

bool ClientConnection::stillQuiet() {
    if (peek(socket) == Unread::nothing)
        return true;
    drop();
    return false;
}

void ClientConnection::finish(CallEnd outcome, Value value) {
    const auto self = shared_from_this();
    const Done tell = std::exchange(done, nullptr);
    bytes = nullptr;
    if (outcome != CallEnd::complete || tainted || !startedSending())
        shut();
    if (tell)
        tell(outcome, std::move(value));
}

void ClientConnection::drop() {
    done = nullptr, bytes = nullptr;
    onIdleClosed = nullptr;
    shut();
}

void ClientConnection::shut() {
    if (closed)
        return;
    closed = true, connected = false, ++callNo;
    asio::error_code ignored;
    socket.close(ignored);
    timer.cancel();
    if (onIdleClosed)
        asio::post(socket.get_executor(), std::exchange(onIdleClosed, nullptr));
}

}  // namespace deckcart::resp
