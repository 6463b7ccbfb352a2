#include "server_connection.hpp"

#include <algorithm>

#include "../base/socket.hpp"

namespace deckcart::resp {

using asio::ip::tcp;
using net::CloseMode;

namespace {

// Limit of bytes that are read and discarded from a peer after invalid input or while its
// connection closes; beyond it nothing more is read, and a lingering connection is closed. Without
// it, a peer that never stops sending would take up CPU time forever.
constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;
// A write buffer over this size is freed when it is empty, so that idle connections do not keep the
// memory of one long reply.
constexpr std::size_t kKeptBufferBytes = 4096;

SteadyTime steadyNow() {
    return std::chrono::steady_clock::now();
}

}  // namespace

ServerConnection::ServerConnection(std::shared_ptr<Listener::Core> owner, tcp::socket accepted)
    : listener(std::move(owner)), stream(std::move(accepted)),
      parser(Parser::What::command, listener->limits.message), lastActiveTime(steadyNow()) {
    configureSocket(stream.socket);
}

void ServerConnection::read() {
    // Reads also while no command can be accepted, since a close is visible only behind the bytes
    // before it.
    if (stream.isClosed() || stream.isAwaitingRead() || peerClosedSending ||
        readAhead.size() >= listener->limits.readAheadBytes || discardedBytes > kMaxDiscardedBytes)
        return;
    stream.awaitRead([self = shared_from_this()](asio::error_code fault) {
        if (fault)
            return self->close(CloseMode::graceful);
        self->onReadable();
    });
}

ConnectionState ServerConnection::state(SteadyTime now) const {
    const auto elapsedSince = [now](SteadyTime from) {
        return std::chrono::duration_cast<Duration>(now - from);
    };
    ConnectionState result;
    result.inFlight = !pipeline.empty();
    result.refused = result.inFlight && pipeline.front()->refused;
    result.errorDue = errorWait(now) >= listener->limits.refusalDelay;
    result.lingering = lingering;
    result.receivedAny = receivedAny;
    result.hasUnreadBytes = hasUnreadBytes;
    result.commandStarted = parser.started();
    result.writing = !outgoing.empty();
    result.idleTime = elapsedSince(lastActiveTime);
    result.commandAge = elapsedSince(commandStartTime);
    result.writeStallTime = elapsedSince(lastWriteProgress);
    return result;
}

bool ServerConnection::checkUnreadBytes() {
    hasUnreadBytes =
        pipeline.empty() && !lingering && peekReadState(stream.socket) == ReadState::bytes;
    return hasUnreadBytes;
}

bool ServerConnection::isPeerConnected() {
    if (stream.isClosed() || peekReadState(stream.socket) != ReadState::end)
        return !stream.isClosed();
    closeLater();
    return false;
}

void ServerConnection::drain() {
    if (stream.isClosed() || !readAhead.empty())
        return;
    if (!endsInDrain(state(steadyNow()), listener->limits))
        return;
    if (peekReadState(stream.socket) != ReadState::bytes)
        linger();
}

void ServerConnection::sweep(SteadyTime now, bool underPressure) {
    switch (timeoutAction(state(now), listener->limits, underPressure)) {
    case TimeoutAction::none:
        return;
    case TimeoutAction::sendError:
        return sendDueError();
    case TimeoutAction::reset:
        return close(CloseMode::reset);
    case TimeoutAction::close:
        return close(CloseMode::graceful);
    // Bytes that arrived before the timeout was handled are still processed.
    case TimeoutAction::linger:
        if (peekReadState(stream.socket) != ReadState::bytes)
            linger();
        return;
    case TimeoutAction::failIncomplete:
        if (peekReadState(stream.socket) != ReadState::bytes)
            fail("the command is not complete in time");
        return;
    }
}

void ServerConnection::close(CloseMode how) {
    if (!stream.close(how))
        return;
    const auto self = shared_from_this();
    listener->openConnections.erase(self);
    listener->onClosed();
    for (const auto &exchange : std::exchange(pipeline, {})) {
        exchange->connection.reset();
        const auto notify = std::exchange(exchange->onGone, nullptr);
        if (notify && !exchange->answered)
            notify();
    }
}

// Deferred, since close() calls onGone, which must not run before the writer's own call has
// returned.
void ServerConnection::closeLater() {
    stream.post([self = shared_from_this()] { self->close(CloseMode::graceful); });
}

void ServerConnection::onAnswered() {
    if (stream.isClosed())
        return;
    bool anyAnswered = false;
    while (!pipeline.empty() && pipeline.front()->answered) {
        outgoing += pipeline.front()->reply;
        pipeline.pop_front();
        anyAnswered = true;
    }
    if (!anyAnswered)
        return;
    lastActiveTime = steadyNow();
    write();
}

Exchange *ServerConnection::pendingRefusal() const {
    const auto found = std::ranges::find_if(
        pipeline, [](const auto &exchange) { return exchange->refused && !exchange->answered; });
    return found == pipeline.end() ? nullptr : found->get();
}

std::optional<Duration> ServerConnection::errorWait(SteadyTime now) const {
    const Exchange *refusal = pendingRefusal();
    if (!refusal)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(now - refusal->refusedAt);
}

bool ServerConnection::canAcceptCommand() const {
    return !pendingRefusal() && pipeline.size() < listener->limits.pipelined &&
           outgoing.size() - writtenBytes < listener->limits.waitingBytes;
}

void ServerConnection::onReadable() {
    asio::error_code fault;
    const auto size = stream.socket.read_some(asio::buffer(listener->readBuffer), fault);
    hasUnreadBytes = false;
    if (fault == asio::error::would_block)
        return read();
    if (fault)
        return onReadError(fault);
    if (lingering || inputFaulty) {
        discardedBytes += size;
        if (discardedBytes > kMaxDiscardedBytes && lingering)
            return close(CloseMode::graceful);
        return read();
    }
    if (!readAhead.empty() || !canAcceptCommand()) {
        readAhead.append(listener->readBuffer.data(), size);
        scheduleReadAhead();
        return read();
    }
    if (!receivedAny || pipeline.empty())
        lastActiveTime = steadyNow();
    receivedAny = true;
    const auto self = shared_from_this();
    processInput({listener->readBuffer.data(), size});
    read();
}

// A peer that has closed its sending side is treated as gone, unless it still gets a delayed error.
void ServerConnection::onReadError(asio::error_code fault) {
    const bool errorPending =
        !pipeline.empty() && pipeline.front()->refused && !pipeline.front()->answered;
    if (fault == asio::error::eof && errorPending)
        peerClosedSending = true;
    else
        close(CloseMode::graceful);
}

std::shared_ptr<Exchange> ServerConnection::addExchange() {
    pipeline.push_back(std::make_shared<Exchange>());
    pipeline.back()->connection = weak_from_this();
    return pipeline.back();
}

void ServerConnection::processInput(std::string_view bytes) {
    while (!bytes.empty() && !stream.isClosed() && !inputFaulty) {
        if (!canAcceptCommand()) {
            readAhead.append(bytes);
            return;
        }
        if (!parser.started())
            commandStartTime = steadyNow();
        bytes.remove_prefix(parser.feed(bytes));
        if (parser.faulty())
            return fail(parser.fault());
        if (!parser.done())
            continue;
        const auto exchange = addExchange();
        for (auto &item : parser.take().items)
            exchange->args.push_back(std::move(*item));
        // Copies the rest of the input, because the shared read buffer may be overwritten if the
        // handler reenters this connection.
        const std::string rest(bytes);
        listener->handler(exchange);
        if (rest.empty() || stream.isClosed() || inputFaulty)
            return;
        readAhead.insert(0, rest);
        return scheduleReadAhead();
    }
}

// Posted to the event loop, so that many pipelined commands neither recurse nor delay other
// connections.
void ServerConnection::scheduleReadAhead() {
    if (readAheadScheduled || readAhead.empty() || stream.isClosed() || inputFaulty ||
        !canAcceptCommand())
        return;
    readAheadScheduled = true;
    stream.post([self = shared_from_this()] {
        self->readAheadScheduled = false;
        if (self->stream.isClosed() || self->inputFaulty || !self->canAcceptCommand())
            return;
        const std::string bytes = std::exchange(self->readAhead, {});
        self->processInput(bytes);
        self->read();
    });
}

// Handles invalid input: earlier commands are still answered, then the error is sent and the
// connection closed.
void ServerConnection::fail(const std::string &message) {
    inputFaulty = true;
    readAhead.clear();
    addExchange()->refuse("ERR " + message);
}

void ServerConnection::sendDueError() {
    Exchange *refusal = pendingRefusal();
    if (!refusal)
        return;
    refusal->answered = true;
    onAnswered();
    read();
    scheduleReadAhead();
}

void ServerConnection::write() {
    if (writing || stream.isClosed())
        return;
    asio::error_code fault;
    const auto before = writtenBytes;
    while (writtenBytes < outgoing.size() && !fault)
        writtenBytes += stream.socket.write_some(
            asio::buffer(outgoing.data() + writtenBytes, outgoing.size() - writtenBytes), fault);
    if (fault && fault != asio::error::would_block)
        return closeLater();
    if (writtenBytes > before || before == 0)
        lastWriteProgress = steadyNow();
    if (writtenBytes == outgoing.size())
        return onAllWritten();
    awaitWritable();
    read();
    scheduleReadAhead();
}

void ServerConnection::onAllWritten() {
    outgoing.clear();
    writtenBytes = 0;
    if (outgoing.capacity() > kKeptBufferBytes)
        outgoing.shrink_to_fit();
    if (pipeline.empty() && peerClosedSending)
        return close(CloseMode::graceful);
    if (pipeline.empty() && inputFaulty)
        return linger();
    read();
    scheduleReadAhead();
    if (listener->draining)
        drain();
}

void ServerConnection::awaitWritable() {
    writing = true;
    stream.socket.async_wait(tcp::socket::wait_write,
                             [self = shared_from_this()](asio::error_code fault) {
                                 self->writing = false;
                                 if (self->stream.isClosed())
                                     return;
                                 if (fault)
                                     return self->close(CloseMode::graceful);
                                 self->write();
                             });
}

// Shuts down the sending side and discards input until the peer closes or `lingerTimeout` expires.
// Closing with unread input would send a reset, which can destroy the last reply.
void ServerConnection::linger() {
    if (stream.isClosed() || lingering)
        return;
    lingering = true;
    inputFaulty = false;
    discardedBytes = 0;
    lastActiveTime = steadyNow();
    asio::error_code ignored;
    stream.socket.shutdown(tcp::socket::shutdown_send, ignored);
    read();
}

}  // namespace deckcart::resp
