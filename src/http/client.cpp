#include "client.hpp"

#include <array>

namespace deckcart::http {

using asio::ip::tcp;

constexpr std::size_t kReadAtOnce =
    16 * 1024;  // a turn's share of one connection: others wait no longer

ClientConnection::ClientConnection(asio::io_context &context, std::size_t mostHeadBytes)
    : socket(context), timer(context), parser(Parser::Kind::response, mostHeadBytes, *this) {}

void ClientConnection::call(const tcp::endpoint &to, Duration within, std::string bytes,
                            bool isHead, CallHandler *owner) {
    sink = owner, headCall = isHead, handed = 0, paused = sentAll = false;
    outgoing = std::move(bytes);
    parser.reset();
    const auto no = ++callNo;
    if (connected)
        return send();
    deckcart::connectWithin(socket, timer, to, within, [self = shared_from_this(), no](bool done) {
        if (self->closed || self->connected || self->callNo != no)
            return;
        if (!done)
            return self->finish(CallEnd::connectFailed);
        self->connected = true;
        self->send();
    });
}

void ClientConnection::send() {
    asio::error_code fault;
    const auto n = socket.write_some(asio::buffer(outgoing), fault);
    if (fault && fault != asio::error::would_block) {
        asio::post(socket.get_executor(), [self = shared_from_this(), no = callNo] {
            if (self->callNo == no)
                self->finish(CallEnd::broken);
        });
        return;
    }
    handed += n;
    read();
    if (n == outgoing.size())
        return void(sentAll = true);
    outgoing.erase(0, n);
    handed += 1;  // from here on the kernel may have taken more than we were told of
    asio::async_write(
        socket, asio::buffer(outgoing),
        [self = shared_from_this(), no = callNo](asio::error_code failed, std::size_t) {
            // A peer may answer before it has read all: what it says is still to be read.
            if (!failed && self->callNo == no)
                self->sentAll = true;
        });
}

void ClientConnection::read() {
    if (reading || paused || closed)
        return;
    reading = true;
    socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](asio::error_code fault) {
        self->reading = false;
        if (self->closed)
            return;
        if (fault)
            return self->finish(CallEnd::broken);
        if (!self->paused)
            self->readable();
    });
}

void ClientConnection::readable() {
    std::array<char, kReadAtOnce> buffer;
    asio::error_code fault;
    const auto n = socket.read_some(asio::buffer(buffer), fault);
    if (fault == asio::error::would_block)
        return read();
    const auto self = shared_from_this();
    if (fault) {
        const bool ended = sink && fault == asio::error::eof && parser.begun() && parser.finish();
        tainted = true;
        return finish(ended ? CallEnd::complete : CallEnd::broken);
    }
    if (!sink)
        return unasked = true, shut();  // an idle peer that speaks is out of step
    std::string_view bytes(buffer.data(), n);
    while (!bytes.empty() && sink && !closed) {
        const auto used = parser.feed(bytes);
        if (parser.fault() != Fault::none)
            return finish(CallEnd::garbage);
        bytes.remove_prefix(used);
        if (parser.done() && sink) {
            if (parser.response().status >= 200)
                break;
            if (parser.response().status == 101)
                return finish(CallEnd::garbage);  // we never ask to switch
            parser.reset();                       // an interim answer
        }
    }
    if (closed)
        return;
    if (!parser.done())
        return read();
    if (!bytes.empty())
        tainted = unasked = true;  // answered twice, or more than was stated
    finish(CallEnd::complete);
    read();
}

bool ClientConnection::onHead() {
    if (parser.response().status >= 200)
        sink->onResponseHead(parser.response());
    return !headCall;
}
void ClientConnection::onBody(std::string_view part) {
    if (sink)
        sink->onResponseBody(part);
}
void ClientConnection::onEnd() {
    if (!parser.response().keepAlive)
        tainted = true;  // the call ends once the parser has returned
}

void ClientConnection::finish(CallEnd outcome) {
    const auto self = shared_from_this();
    CallHandler *to = std::exchange(sink, nullptr);
    if (outcome != CallEnd::complete || tainted || !sentAll)
        shut();
    if (to)
        to->onCallEnd(outcome);
}

void ClientConnection::drop() {
    sink = nullptr;
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

void ClientConnection::pause() {
    paused = true;
}
void ClientConnection::resume() {
    paused = false;
    if (connected && sink)
        read();
}

}  // namespace deckcart::http
