#include "client.hpp"

#include <array>

namespace deckcart::resp {

using asio::ip::tcp;

ClientConnection::ClientConnection(asio::io_context &context, Limits limits)
    : stream(context), parser(Parser::What::reply, limits) {}

void ClientConnection::call(const tcp::endpoint &to, Duration within, Bytes callBytes,
                            Done callDone) {
    done = std::move(callDone);
    bytes = std::move(callBytes);
    outgoing.clear();
    writtenBytes = 0;
    stream.beginCall();
    if (stream.isConnected())
        return begin();
    stream.connect(to, within, [self = shared_from_this()](bool connected) {
        // What comes before anything was asked would be taken for the answer.
        if (!connected || peekReadState(self->stream.socket) != ReadState::nothing)
            return self->finish(CallEnd::connectFailed);
        self->begin();
    });
}

void ClientConnection::begin() {
    const Bytes build = std::exchange(bytes, nullptr);
    outgoing = build();
    if (!outgoing.empty())
        return send();
    stream.postInCall([self = shared_from_this()] { self->finish(CallEnd::connectFailed); });
}

void ClientConnection::send() {
    asio::error_code fault;
    while (writtenBytes < outgoing.size() && !fault)
        writtenBytes += stream.socket.write_some(
            asio::buffer(outgoing.data() + writtenBytes, outgoing.size() - writtenBytes), fault);
    awaitRead();
    if (fault && fault != asio::error::would_block) {
        stream.postInCall([self = shared_from_this()] { self->finish(CallEnd::connectionLost); });
        return;
    }
    if (!startedSending())
        awaitWritable();
}

void ClientConnection::awaitWritable() {
    stream.socket.async_wait(
        tcp::socket::wait_write,
        [self = shared_from_this(), began = stream.callNumber()](asio::error_code fault) {
            if (self->stream.isClosed() || self->stream.callNumber() != began)
                return;
            if (fault)
                return self->finish(CallEnd::connectionLost);
            self->send();
        });
}

void ClientConnection::awaitRead() {
    if (stream.isAwaitingRead() || stream.isClosed())
        return;
    stream.awaitRead([self = shared_from_this()](asio::error_code fault) {
        if (fault)
            return self->finish(CallEnd::connectionLost);
        self->readable();
    });
}

void ClientConnection::readable() {
    std::array<char, net::kMaxReadBytes> buffer;
    asio::error_code fault;
    const auto size = stream.socket.read_some(asio::buffer(buffer), fault);
    if (fault == asio::error::would_block)
        return awaitRead();
    if (fault)
        return finish(CallEnd::connectionLost);
    if (!done)
        return shut();  // an idle peer that speaks is out of step
    const auto used = parser.feed({buffer.data(), size});
    if (parser.faulty())
        return finish(CallEnd::malformed);
    if (!parser.done())
        return awaitRead();
    if (used < size)
        tainted = true;  // more than belongs to the reply: the reply is good, the connection not
    const auto self = shared_from_this();
    finish(CallEnd::complete, parser.take());
    awaitRead();
}

void ClientConnection::look() {
    if (!stream.isConnected() || stream.isClosed() || !done || !startedSending())
        return;
    const auto self = shared_from_this();
    readable();
}

bool ClientConnection::stillQuiet() {
    if (peekReadState(stream.socket) == ReadState::nothing)
        return true;
    drop();
    return false;
}

void ClientConnection::finish(CallEnd outcome, Value value) {
    const auto self = shared_from_this();
    const Done notify = std::exchange(done, nullptr);
    bytes = nullptr;
    if (outcome != CallEnd::complete || tainted || !startedSending())
        shut();
    if (notify)
        notify(outcome, std::move(value));
}

void ClientConnection::drop() {
    done = nullptr;
    bytes = nullptr;
    onIdleClosed = nullptr;
    shut();
}

void ClientConnection::shut() {
    if (stream.closeAndEndCall() && onIdleClosed)
        stream.post(std::exchange(onIdleClosed, nullptr));
}

}  // namespace deckcart::resp
