#include "client.hpp"

#include <array>

namespace deckcart::resp {

using asio::ip::tcp;

ClientConnection::ClientConnection(asio::io_context &context, Limits limits)
    : stream(context), parser(Parser::What::reply, limits) {}

void ClientConnection::call(const tcp::endpoint &to, Duration connectTimeout,
                            CommandBuilder builder, ReplyCallback callback) {
    onReply = std::move(callback);
    buildCommand = std::move(builder);
    outgoing.clear();
    writtenBytes = 0;
    stream.beginCall();
    if (stream.isConnected())
        return buildAndSend();
    stream.connect(to, connectTimeout, [self = shared_from_this()](bool connected) {
        // Bytes received before the command was sent would be taken for its reply.
        if (!connected || peekReadState(self->stream.socket) != ReadState::nothing)
            return self->finish(CallEnd::connectFailed);
        self->buildAndSend();
    });
}

void ClientConnection::buildAndSend() {
    const CommandBuilder builder = std::exchange(buildCommand, nullptr);
    outgoing = builder();
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
        tcp::socket::wait_write, [self = shared_from_this(),
                                  initialCallNumber = stream.callNumber()](asio::error_code fault) {
            if (self->stream.isClosed() || self->stream.callNumber() != initialCallNumber)
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
        self->onReadable();
    });
}

void ClientConnection::onReadable() {
    std::array<char, net::kMaxReadBytes> buffer;
    asio::error_code fault;
    const auto size = stream.socket.read_some(asio::buffer(buffer), fault);
    if (fault == asio::error::would_block)
        return awaitRead();
    if (fault)
        return finish(CallEnd::connectionLost);
    if (!onReply)
        return close();  // data without a command: replies no longer match commands
    const auto consumed = parser.feed({buffer.data(), size});
    if (parser.faulty())
        return finish(CallEnd::malformed);
    if (!parser.done())
        return awaitRead();
    if (consumed < size)
        mustClose = true;  // excess bytes: the reply is valid, the connection is not reusable
    const auto self = shared_from_this();
    finish(CallEnd::complete, parser.take());
    awaitRead();
}

void ClientConnection::look() {
    if (!stream.isConnected() || stream.isClosed() || !onReply || !startedSending())
        return;
    const auto self = shared_from_this();
    onReadable();
}

bool ClientConnection::stillQuiet() {
    if (peekReadState(stream.socket) == ReadState::nothing)
        return true;
    drop();
    return false;
}

void ClientConnection::finish(CallEnd outcome, Value value) {
    const auto self = shared_from_this();
    const ReplyCallback notify = std::exchange(onReply, nullptr);
    buildCommand = nullptr;
    if (outcome != CallEnd::complete || mustClose || !startedSending())
        close();
    else
        outgoing = {};  // an idle connection keeps no command
    if (notify)
        notify(outcome, std::move(value));
}

void ClientConnection::drop() {
    onReply = nullptr;
    buildCommand = nullptr;
    onIdleClosed = nullptr;
    close();
}

void ClientConnection::close() {
    if (stream.closeAndEndCall() && onIdleClosed)
        stream.post(std::exchange(onIdleClosed, nullptr));
}

}  // namespace deckcart::resp
