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

void ClientConnection::call(const tcp::endpoint &to, Duration connectTimeout, std::string bytes,
                            bool headRequest, CallHandler *newHandler) {
    handler = newHandler;
    isHeadRequest = headRequest;
    submittedBytes = 0;
    paused = false;
    requestSent = false;
    outgoing = std::move(bytes);
    parser.reset();
    stream.beginCall();
    if (stream.isConnected())
        return send();
    stream.connect(to, connectTimeout, [self = shared_from_this()](bool connected) {
        if (connected)
            self->send();
        else
            self->finish(CallEnd::connectFailed);
    });
}

void ClientConnection::send() {
    asio::error_code fault;
    const auto accepted = stream.socket.write_some(asio::buffer(outgoing), fault);
    if (fault && fault != asio::error::would_block) {
        stream.postInCall([self = shared_from_this()] { self->finish(CallEnd::connectionLost); });
        return;
    }
    submittedBytes += accepted;
    read();
    if (accepted == outgoing.size()) {
        requestSent = true;
        return;
    }
    outgoing.erase(0, accepted);
    sendRest();
}

void ClientConnection::sendRest() {
    // Counts as sent: the kernel may accept bytes before async_write reports them.
    submittedBytes += 1;
    asio::async_write(stream.socket, asio::buffer(outgoing),
                      [self = shared_from_this(), initialCallNumber = stream.callNumber()](
                          asio::error_code fault, std::size_t) {
                          // A write error does not end the call: the peer may have responded
                          // before it read the whole request, and that response is still to be
                          // read.
                          if (!fault && self->stream.callNumber() == initialCallNumber)
                              self->requestSent = true;
                      });
}

void ClientConnection::read() {
    if (stream.isAwaitingRead() || paused || stream.isClosed())
        return;
    stream.awaitRead([self = shared_from_this()](asio::error_code fault) {
        if (fault)
            return self->finish(CallEnd::connectionLost);
        if (!self->paused)
            self->onReadable();
    });
}

void ClientConnection::onReadable() {
    std::array<char, net::kMaxReadBytes> buffer;
    asio::error_code fault;
    const auto size = stream.socket.read_some(asio::buffer(buffer), fault);
    if (fault == asio::error::would_block)
        return read();
    const auto self = shared_from_this();
    if (fault)
        return onReadError(fault);
    if (!handler) {  // data without a request: requests and responses no longer match
        receivedUnsolicited = true;
        return close();
    }
    std::string_view bytes(buffer.data(), size);
    if (!parseResponse(bytes))
        return finish(CallEnd::malformed);
    if (stream.isClosed())
        return;
    if (!parser.done())
        return read();
    if (!bytes.empty()) {  // a second response, or more than the stated length
        mustClose = true;
        receivedUnsolicited = true;
    }
    finish(CallEnd::complete);
    read();
}

void ClientConnection::onReadError(asio::error_code fault) {
    const bool ended = handler && fault == asio::error::eof && parser.started() && parser.finish();
    mustClose = true;
    finish(ended ? CallEnd::complete : CallEnd::connectionLost);
}

// Consumes bytes up to the end of the final response and skips interim (1xx) responses. Returns
// false if the response is malformed or switches protocols.
bool ClientConnection::parseResponse(std::string_view &bytes) {
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
            return false;  // no request asks for an upgrade
        parser.reset();
    }
    return true;
}

bool ClientConnection::onHead() {
    if (parser.response().status >= kFirstFinalStatus)
        handler->onResponseHead(parser.response());
    return !isHeadRequest;
}

void ClientConnection::onBody(std::string_view part) {
    if (handler)
        handler->onResponseBody(part);
}

void ClientConnection::onEnd() {
    if (!parser.response().keepAlive)
        mustClose = true;  // onReadable() ends the call once the parser has returned
}

void ClientConnection::finish(CallEnd outcome) {
    const auto self = shared_from_this();
    CallHandler *const endedHandler = std::exchange(handler, nullptr);
    if (outcome != CallEnd::complete || mustClose || !requestSent)
        close();
    if (endedHandler)
        endedHandler->onCallEnd(outcome);
}

void ClientConnection::drop() {
    handler = nullptr;
    close();
}

void ClientConnection::close() {
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
