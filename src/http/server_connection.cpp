#include "server_connection.hpp"

#include <algorithm>

#include "../base/socket.hpp"

namespace deckcart::http {

using asio::ip::tcp;
using net::CloseMode;

namespace {

// For a peer to read a last answer. Guards against a reset that overtakes it.
constexpr Duration kMaxLinger = std::chrono::seconds(1);
constexpr Duration kUnwatched{0};

}  // namespace

ServerConnection::ServerConnection(std::shared_ptr<Listener::Core> owner, tcp::socket accepted)
    : listener(std::move(owner)), stream(std::move(accepted)), timer(stream.socket.get_executor()),
      parser(Parser::Kind::request, listener->limits.headBytes, *this) {
    configureSocket(stream.socket);
}

void ServerConnection::start() {
    watch(listener->limits.idleFor);
    read();
}

void ServerConnection::write(std::string_view bytes) {
    if (stream.isClosed())
        return;
    if (queued.empty() && !writing) {  // most answers go out at once and need no queue
        asio::error_code fault;
        const auto taken =
            stream.socket.write_some(asio::buffer(bytes.data(), bytes.size()), fault);
        if (fault && fault != asio::error::would_block)
            return shutLater();
        bytes.remove_prefix(taken);
        if (bytes.empty())
            return;
    }
    queued.append(bytes);
    flush();
}

std::size_t ServerConnection::waiting() const {
    return queued.size() + (writing ? inFlight.size() : 0);
}

void ServerConnection::onAnswerEnd(bool closeAfter) {
    closing = closing || closeAfter;
    current.reset();
    if (stream.isClosed())
        return;
    if (waiting() == 0)
        nextRequest();
    else
        answerWritten = true;
}

bool ServerConnection::closesAfter(const RequestHead &head) const {
    return !head.keepAlive || closing || listener->draining;
}

void ServerConnection::drain() {
    if (!current && !parser.begun() && !answerWritten)
        shut(CloseMode::graceful);
}

void ServerConnection::shut(CloseMode how) {
    if (!stream.close(how))
        return;
    const auto self = shared_from_this();
    timer.cancel();
    listener->onClosed(this);
    const auto cut = std::exchange(current, nullptr);
    if (cut && !cut->ended && cut->onGone) {
        const auto notify = cut->onGone;
        notify();
    }
}

// Not from within the writer's own call: it would be notified before its call returns.
void ServerConnection::shutLater() {
    stream.post([self = shared_from_this()] { self->shut(CloseMode::graceful); });
}

void ServerConnection::read() {
    if (stream.isClosed() || stream.isAwaitingRead() || refused)
        return;
    if (current && readAhead.size() >= listener->limits.pipelinedBytes)
        return;  // goes on with the next request
    stream.awaitRead([self = shared_from_this()](asio::error_code fault) {
        if (fault)
            return self->shut(CloseMode::graceful);
        self->readable();
    });
}

void ServerConnection::readable() {
    asio::error_code fault;
    std::size_t room = listener->buffer.size();
    if (current)
        room = std::min(room, listener->limits.pipelinedBytes - readAhead.size());
    const auto size = stream.socket.read_some(asio::buffer(listener->buffer.data(), room), fault);
    if (fault == asio::error::would_block)
        return read();
    // The peer closing its side ends what it asked for: a client that is gone is not worth an
    // attempt.
    if (fault)
        return shut(CloseMode::graceful);
    consume({listener->buffer.data(), size});
    read();
}

void ServerConnection::consume(std::string_view bytes) {
    while (!bytes.empty() && !stream.isClosed() && !refused) {
        if (current || answerWritten) {
            readAhead.append(bytes);
            return;
        }
        if (!parser.begun())
            watch(listener->limits.messageWithin);
        bytes.remove_prefix(parser.feed(bytes));
        if (refuseFaulty())
            return;
        if (parser.done() && !refused)
            dispatch();
    }
}

bool ServerConnection::refuseFaulty() {
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
    building = std::make_shared<Exchange>();
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
    if (building->body.size() + part.size() > listener->limits.bodyBytes)
        return refuse(413, "body over the limit");
    building->body.append(part);
}

void ServerConnection::dispatch() {
    watch(kUnwatched);
    current = std::move(building);
    current->head = parser.request();
    current->connection = weak_from_this();
    current->bodiless = current->head.method == "HEAD";
    parser.reset();
    const auto dispatched = current;
    listener->handler(dispatched);
}

// A request that is refused at the listener: the rest of what this peer sends can't be trusted to
// be in step.
void ServerConnection::refuse(int status, std::string_view message) {
    refused = true;
    closing = true;
    ResponseHead head;
    head.status = status;
    head.length = message.size() + 1;
    head.headers = {{"Content-Type", "text/plain"}};
    const bool bodiless = parser.request().method == "HEAD";
    write(http::write(head, true) + (bodiless ? std::string{} : std::string(message) + "\n"));
    if (waiting() > 0)
        answerWritten = true;
    else
        lingerThenClose();
}

// Lets the peer read the last answer before the connection goes: unread bytes would turn it into a
// reset.
void ServerConnection::lingerThenClose() {
    asio::error_code ignored;
    stream.socket.shutdown(tcp::socket::shutdown_send, ignored);
    watch(std::min(listener->limits.slowPeerFor, kMaxLinger));
    discardInput();
}

// Beside read(), whose wait may still stand.
void ServerConnection::discardInput() {
    stream.socket.async_wait(
        tcp::socket::wait_read, [self = shared_from_this()](asio::error_code fault) {
            if (self->stream.isClosed())
                return;
            if (!fault)
                self->stream.socket.read_some(asio::buffer(self->listener->buffer), fault);
            if (fault && fault != asio::error::would_block)
                return self->shut(CloseMode::graceful);
            self->discardInput();
        });
}

void ServerConnection::nextRequest() {
    answerWritten = false;
    // What was read ahead is not answered then: the peer sees its connection end here.
    if (refused || closing || listener->draining)
        return lingerThenClose();
    watch(listener->limits.idleFor);
    if (readAhead.empty())
        return read();
    // On a turn of its own, so that a long pipeline does not nest.
    stream.post([self = shared_from_this()] {
        const std::string bytes = std::exchange(self->readAhead, {});
        self->consume(bytes);
        self->read();
    });
}

void ServerConnection::flush() {
    if (writing || queued.empty() || stream.isClosed())
        return;
    writing = true;
    inFlight.swap(queued);
    // The least rate of a reader: one full queue, at most the stated waiting bytes, within the
    // stated time.
    watch(listener->limits.slowPeerFor);
    asio::async_write(stream.socket, asio::buffer(inFlight),
                      [self = shared_from_this()](asio::error_code fault, std::size_t) {
                          self->writing = false;
                          self->inFlight.clear();
                          if (self->stream.isClosed())
                              return;
                          if (fault)
                              return self->shut(CloseMode::graceful);
                          self->onFlushed();
                      });
}

void ServerConnection::onFlushed() {
    watch(kUnwatched);
    flush();
    if (writing)
        return;
    if (answerWritten)
        return nextRequest();
    if (const auto held = current; held && held->onDrained)
        held->onDrained();
}

void ServerConnection::watch(Duration within) {
    if (within <= kUnwatched) {
        timer.cancel();
        return;
    }
    timer.expires_after(within);
    timer.async_wait([weak = weak_from_this()](asio::error_code fault) {
        const auto self = weak.lock();
        if (!fault && self)
            self->onTimeout();
    });
}

void ServerConnection::onTimeout() {
    // It may have been set anew after this expiry was queued.
    if (stream.isClosed() || timer.expiry() > std::chrono::steady_clock::now())
        return;
    if (parser.begun() && !current && !refused && !writing)
        return refuse(408, "request not complete in time");
    shut(writing ? CloseMode::reset : CloseMode::graceful);
}

}  // namespace deckcart::http
