#include "client.hpp"

#include <array>

namespace deckcart::http {

using asio::ip::tcp;

namespace {

constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;

}  // namespace

ClientConnection::ClientConnection(asio::io_context &context, std::size_t maxHeadBytes)
    : stream(context), parser(Parser::Kind::response, maxHeadBytes, *this) {}

void ClientConnection::call(const tcp::endpoint &to, Duration within, std::string bytes,
                            bool isHead, CallHandler *callHandler) {
    handler = callHandler;
    headCall = isHead;
    handedBytes = 0;
    paused = false;
    sentAll = false;
    outgoing = std::move(bytes);
    parser.reset();
    stream.beginCall();
    if (stream.isConnected())
        return send();
    stream.connect(to, within, [self = shared_from_this()](bool connected) {
        if (connected)
            self->send();
        else
            self->finish(CallEnd::connectFailed);
    });
}

void ClientConnection::send() {
    asio::error_code fault;
    const auto taken = stream.socket.write_some(asio::buffer(outgoing), fault);
    if (fault && fault != asio::error::would_block) {
        stream.postInCall([self = shared_from_this()] { self->finish(CallEnd::connectionLost); });
        return;
    }
    handedBytes += taken;
    read();
    if (taken == outgoing.size()) {
        sentAll = true;
        return;
    }
    outgoing.erase(0, taken);
    sendRest();
}

void ClientConnection::sendRest() {
    handedBytes += 1;  // from here on the kernel may have taken more than we are notified of
    asio::async_write(stream.socket, asio::buffer(outgoing),
                      [self = shared_from_this(),
                       began = stream.callNumber()](asio::error_code fault, std::size_t) {
                          // A peer may answer before it has read all: what it says is still to be
                          // read.
                          if (!fault && self->stream.callNumber() == began)
                              self->sentAll = true;
                      });
}

void ClientConnection::read() {
    if (stream.isAwaitingRead() || paused || stream.isClosed())
        return;
    stream.awaitRead([self = shared_from_this()](asio::error_code fault) {
        if (fault)
            return self->finish(CallEnd::connectionLost);
        if (!self->paused)
            self->readable();
    });
}

void ClientConnection::readable() {
    std::array<char, net::kMaxReadBytes> buffer;
    asio::error_code fault;
    const auto size = stream.socket.read_some(asio::buffer(buffer), fault);
    if (fault == asio::error::would_block)
        return read();
    const auto self = shared_from_this();
    if (fault)
        return onReadFault(fault);
    if (!handler) {  // an idle peer that speaks is out of step
        unasked = true;
        return shut();
    }
    std::string_view bytes(buffer.data(), size);
    if (!readResponse(bytes))
        return finish(CallEnd::malformed);
    if (stream.isClosed())
        return;
    if (!parser.done())
        return read();
    if (!bytes.empty()) {  // answered twice, or more than was stated
        tainted = true;
        unasked = true;
    }
    finish(CallEnd::complete);
    read();
}

void ClientConnection::onReadFault(asio::error_code fault) {
    const bool ended = handler && fault == asio::error::eof && parser.begun() && parser.finish();
    tainted = true;
    finish(ended ? CallEnd::complete : CallEnd::connectionLost);
}

// Takes bytes up to the end of the response, past interim ones; false if they are none.
bool ClientConnection::readResponse(std::string_view &bytes) {
    while (!bytes.empty() && handler && !stream.isClosed()) {
        const auto used = parser.feed(bytes);
        if (parser.fault() != Fault::none)
            return false;
        bytes.remove_prefix(used);
        if (!parser.done() || !handler)
            continue;
        const int status = parser.response().status;
        if (status >= kFirstFinalStatus)
            break;
        if (status == kSwitchingProtocols)
            return false;  // we never ask to switch
        parser.reset();
    }
    return true;
}

bool ClientConnection::onHead() {
    if (parser.response().status >= kFirstFinalStatus)
        handler->onResponseHead(parser.response());
    return !headCall;
}

void ClientConnection::onBody(std::string_view part) {
    if (handler)
        handler->onResponseBody(part);
}

void ClientConnection::onEnd() {
    if (!parser.response().keepAlive)
        tainted = true;  // the call ends once the parser has returned
}

void ClientConnection::finish(CallEnd outcome) {
    const auto self = shared_from_this();
    CallHandler *const notified = std::exchange(handler, nullptr);
    if (outcome != CallEnd::complete || tainted || !sentAll)
        shut();
    if (notified)
        notified->onCallEnd(outcome);
}

void ClientConnection::drop() {
    handler = nullptr;
    shut();
}

void ClientConnection::shut() {
    if (stream.closeAndEndCall() && onIdleClosed)
        stream.post(std::exchange(onIdleClosed, nullptr));
}

void ClientConnection::pause() {
    paused = true;
}

void ClientConnection::resume() {
    paused = false;
    if (stream.isConnected() && handler)
        read();
}

}  // namespace deckcart::http
