#include "server_connection.hpp"

#include <algorithm>

#include "../base/socket.hpp"

namespace deckcart::http {

using asio::ip::tcp;
using net::CloseMode;

namespace {

// Time for the peer to read the last response. Closing earlier, with unread input, would send a
// reset that can overtake the response.
constexpr Duration kMaxLinger = std::chrono::seconds(1);
constexpr Duration kNoTimeout{0};

}  // namespace

ServerConnection::ServerConnection(std::shared_ptr<Listener::Core> owner, tcp::socket accepted)
    : listener(std::move(owner)), stream(std::move(accepted)), timer(stream.socket.get_executor()),
      parser(Parser::Kind::request, listener->limits.headBytes, *this) {
    configureSocket(stream.socket);
}

void ServerConnection::start() {
    setTimeout(listener->limits.idleFor);
    read();
}

void ServerConnection::write(std::string_view bytes) {
    if (stream.isClosed())
        return;
    if (sendQueue.empty() && !writing) {  // most responses can be sent at once, without queueing
        asio::error_code fault;
        const auto accepted =
            stream.socket.write_some(asio::buffer(bytes.data(), bytes.size()), fault);
        if (fault && fault != asio::error::would_block)
            return closeLater();
        bytes.remove_prefix(accepted);
        if (bytes.empty())
            return;
    }
    sendQueue.append(bytes);
    flush();
}

std::size_t ServerConnection::pendingBytes() const {
    return sendQueue.size() + (writing ? sendBuffer.size() : 0);
}

PeerState ServerConnection::checkPeer() {
    const PeerState peer = stream.peerState();
    if (peer == PeerState::closed)
        closeLater();
    return peer;
}

void ServerConnection::onResponseEnd(bool closeAfter) {
    closing = closing || closeAfter;
    currentExchange.reset();
    if (stream.isClosed())
        return;
    if (pendingBytes() == 0)
        startNextRequest();
    else
        responseComplete = true;
}

bool ServerConnection::shouldCloseAfter(const RequestHead &head) const {
    return !head.keepAlive || closing || listener->draining;
}

void ServerConnection::drain() {
    if (!currentExchange && !parser.started() && !responseComplete)
        close(CloseMode::graceful);
}

void ServerConnection::close(CloseMode how) {
    if (!stream.close(how))
        return;
    const auto self = shared_from_this();
    timer.cancel();
    listener->onClosed(this);
    const auto interrupted = std::exchange(currentExchange, nullptr);
    if (interrupted && !interrupted->ended && interrupted->onGone) {
        const auto notify = interrupted->onGone;
        notify();
    }
}

// Deferred, since close() calls onGone, which must not run before the writer's own call has
// returned.
void ServerConnection::closeLater() {
    stream.post([self = shared_from_this()] { self->close(CloseMode::graceful); });
}

void ServerConnection::read() {
    if (stream.isClosed() || stream.isAwaitingRead() || refused)
        return;
    if (currentExchange && readAhead.size() >= listener->limits.pipelinedBytes)
        return;  // startNextRequest() resumes reading
    stream.awaitRead([self = shared_from_this()](asio::error_code fault) {
        if (fault)
            return self->close(CloseMode::graceful);
        self->onReadable();
    });
}

void ServerConnection::onReadable() {
    asio::error_code fault;
    std::size_t capacity = listener->readBuffer.size();
    if (currentExchange)
        capacity = std::min(capacity, listener->limits.pipelinedBytes - readAhead.size());
    const auto size =
        stream.socket.read_some(asio::buffer(listener->readBuffer.data(), capacity), fault);
    if (fault == asio::error::would_block)
        return read();
    // A client that closed its side is treated as gone: its requests end here, so that no attempt
    // is spent on them.
    if (fault)
        return close(CloseMode::graceful);
    processInput({listener->readBuffer.data(), size});
    read();
}

void ServerConnection::processInput(std::string_view bytes) {
    while (!bytes.empty() && !stream.isClosed() && !refused) {
        if (currentExchange || responseComplete) {
            readAhead.append(bytes);
            return;
        }
        if (!parser.started())
            setTimeout(listener->limits.messageWithin);
        bytes.remove_prefix(parser.feed(bytes));
        if (refuseOnFault())
            return;
        if (parser.done() && !refused)
            dispatch();
    }
}

bool ServerConnection::refuseOnFault() {
    switch (parser.fault()) {
    case Fault::none:
        return false;
    case Fault::malformed:
        refuse(400, "malformed request");
        break;
    case Fault::headTooLarge:
        refuse(431, "head over the limit");
        break;
    case Fault::unsupported:
        refuse(501, "coding not supported");
        break;
    }
    return true;
}

bool ServerConnection::onHead() {
    const auto &head = parser.request();
    receivingExchange = std::make_shared<Exchange>();
    if (head.upgrade)
        refuse(501, "no upgrades");
    else if (head.length.value_or(0) > listener->limits.bodyBytes)
        refuse(413, "body over the limit");
    else if (head.expectsContinue && (head.chunked || head.length.value_or(0) > 0))
        write("HTTP/1.1 100 Continue\r\n\r\n");
    return true;
}

void ServerConnection::onBody(std::string_view part) {
    if (refused)
        return;
    if (receivingExchange->body.size() + part.size() > listener->limits.bodyBytes)
        return refuse(413, "body over the limit");
    receivingExchange->body.append(part);
}

void ServerConnection::dispatch() {
    setTimeout(kNoTimeout);
    currentExchange = std::move(receivingExchange);
    currentExchange->head = parser.request();
    currentExchange->connection = weak_from_this();
    currentExchange->omitBody = currentExchange->head.method == "HEAD";
    parser.reset();
    const auto dispatched = currentExchange;
    listener->handler(dispatched);
}

// Responds with an error and closes, without involving the handler. Further input is discarded,
// since request boundaries are not reliable after such a request.
void ServerConnection::refuse(int status, std::string_view message) {
    refused = true;
    closing = true;
    ResponseHead head;
    head.status = status;
    head.length = message.size() + 1;
    head.headers = {{"Content-Type", "text/plain"}};
    const bool omitBody = parser.request().method == "HEAD";
    write(http::write(head, true) + (omitBody ? std::string{} : std::string(message) + "\n"));
    if (pendingBytes() > 0)
        responseComplete = true;
    else
        lingerThenClose();
}

// Shuts down the sending side and discards input until the peer closes or a timeout expires.
// Closing with unread input would send a reset, which can destroy the last response.
void ServerConnection::lingerThenClose() {
    asio::error_code ignored;
    stream.socket.shutdown(tcp::socket::shutdown_send, ignored);
    setTimeout(std::min(listener->limits.slowPeerFor, kMaxLinger));
    discardInput();
}

// Waits separately from read(), whose wait may still be pending.
void ServerConnection::discardInput() {
    stream.socket.async_wait(
        tcp::socket::wait_read, [self = shared_from_this()](asio::error_code fault) {
            if (self->stream.isClosed())
                return;
            if (!fault)
                self->stream.socket.read_some(asio::buffer(self->listener->readBuffer), fault);
            if (fault && fault != asio::error::would_block)
                return self->close(CloseMode::graceful);
            self->discardInput();
        });
}

void ServerConnection::startNextRequest() {
    responseComplete = false;
    // Requests that were read ahead are dropped; the peer sees that the connection ends here.
    if (refused || closing || listener->draining)
        return lingerThenClose();
    setTimeout(listener->limits.idleFor);
    if (readAhead.empty())
        return read();
    // Posted to the event loop, so that many pipelined requests do not recurse.
    stream.post([self = shared_from_this()] {
        const std::string bytes = std::exchange(self->readAhead, {});
        self->processInput(bytes);
        self->read();
    });
}

void ServerConnection::flush() {
    if (writing || sendQueue.empty() || stream.isClosed())
        return;
    writing = true;
    sendBuffer.swap(sendQueue);
    // Enforces a minimum read rate of the peer: the whole buffer, at most about `waitingBytes`,
    // must be read within `slowPeerFor`.
    setTimeout(listener->limits.slowPeerFor);
    asio::async_write(stream.socket, asio::buffer(sendBuffer),
                      [self = shared_from_this()](asio::error_code fault, std::size_t) {
                          self->writing = false;
                          self->sendBuffer.clear();
                          if (self->stream.isClosed())
                              return;
                          if (fault)
                              return self->close(CloseMode::graceful);
                          self->onFlushed();
                      });
}

void ServerConnection::onFlushed() {
    setTimeout(kNoTimeout);
    flush();
    if (writing)
        return;
    if (responseComplete)
        return startNextRequest();
    if (const auto exchange = currentExchange; exchange && exchange->onDrained)
        exchange->onDrained();
}

void ServerConnection::setTimeout(Duration timeout) {
    if (timeout <= kNoTimeout) {
        timer.cancel();
        return;
    }
    timer.expires_after(timeout);
    timer.async_wait([weak = weak_from_this()](asio::error_code fault) {
        const auto self = weak.lock();
        if (!fault && self)
            self->onTimeout();
    });
}

void ServerConnection::onTimeout() {
    // The timer may have been rearmed after this expiry was queued.
    if (stream.isClosed() || timer.expiry() > std::chrono::steady_clock::now())
        return;
    if (parser.started() && !currentExchange && !refused && !writing)
        return refuse(408, "request not complete in time");
    close(writing ? CloseMode::reset : CloseMode::graceful);
}

}  // namespace deckcart::http
