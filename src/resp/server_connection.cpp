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
    if (stream.isClosed() || stream.isAwaitingRead() || peerClosedSending || readCapacity() == 0 ||
        discardedBytes > kMaxDiscardedBytes)
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
    result.refused = result.inFlight && pipeline.front()->refusedAt.has_value();
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
    hasUnreadBytes = pipeline.empty() && !lingering &&
                     (!readAhead.empty() || peekReadState(stream.socket) == ReadState::bytes);
    return hasUnreadBytes;
}

PeerState ServerConnection::checkPeer() {
    const PeerState peer = stream.peerState();
    if (peer == PeerState::closed)
        closeLater();
    return peer;
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
    commandsSinceSweep = 0;
    const bool readingPaused = !stream.isAwaitingRead() && !peerClosedSending;
    if (readingPaused && stream.peerState() == PeerState::closed)
        return onPeerClosed();
    resumeInput();
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
        if (readCapacity() == 0 || peekReadState(stream.socket) != ReadState::bytes)
            fail("the command is not complete in time");
        return;
    }
}

void ServerConnection::close(CloseMode how) {
    if (!stream.close(how))
        return;
    const auto self = shared_from_this();
    countCommandBytes();
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
    if (outgoing.empty())
        lastWriteProgress = steadyNow();
    while (!pipeline.empty() && pipeline.front()->answered) {
        outgoing.append(pipeline.front()->reply);
        pipeline.pop_front();
        anyAnswered = true;
    }
    if (!anyAnswered)
        return;
    lastActiveTime = steadyNow();
    countCommandBytes();
    write();
}

Exchange *ServerConnection::pendingRefusal() const {
    const auto found = std::ranges::find_if(
        pipeline, [](const auto &exchange) { return exchange->refusedAt && !exchange->answered; });
    return found == pipeline.end() ? nullptr : found->get();
}

std::optional<Duration> ServerConnection::errorWait(SteadyTime now) const {
    const Exchange *refusal = pendingRefusal();
    if (!refusal)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(now - *refusal->refusedAt);
}

bool ServerConnection::canAcceptCommand() const {
    return !pendingRefusal() && pipeline.size() < listener->limits.pipelined &&
           outgoing.size() < listener->limits.waitingBytes &&
           commandsSinceSweep < listener->limits.commandsPerSweep;
}

std::size_t ServerConnection::readCapacity() const {
    const std::size_t bufferSize = listener->readBuffer.size();
    if (lingering || inputFaulty)
        return bufferSize;
    const HeldCommandBytes held{readAhead.size(), countedBytes, listener->commandBytes};
    return std::min(bufferSize, allowedReadBytes(held, listener->limits));
}

void ServerConnection::countCommandBytes() {
    std::size_t held = 0;
    if (!stream.isClosed()) {
        held = readAhead.size() + parser.bufferedBytes();
        for (const auto &exchange : pipeline)
            held += exchange->commandBytes;
    }
    listener->commandBytes += held - countedBytes;
    countedBytes = held;
}

void ServerConnection::onReadable() {
    asio::error_code fault;
    const bool discard = lingering || inputFaulty;
    const std::size_t capacity = readCapacity();
    if (capacity == 0)  // others have used up the limit of all since the wait began
        return;
    const auto size =
        stream.socket.read_some(asio::buffer(listener->readBuffer.data(), capacity), fault);
    hasUnreadBytes = false;
    if (fault == asio::error::would_block)
        return read();
    if (fault)
        return onReadError(fault);
    if (discard) {
        discardedBytes += size;
        if (discardedBytes > kMaxDiscardedBytes && lingering)
            return close(CloseMode::graceful);
        return read();
    }
    if (!receivedAny || (pipeline.empty() && readAhead.empty()))
        lastActiveTime = steadyNow();
    receivedAny = true;
    readAhead.append({listener->readBuffer.data(), size});
    processReadAhead();
}

void ServerConnection::onReadError(asio::error_code fault) {
    if (fault == asio::error::eof)
        onPeerClosed();
    else
        close(CloseMode::graceful);
}

// A peer that has closed its sending side is treated as gone, unless it still gets a delayed error.
// What it sent and was not taken yet is dropped.
void ServerConnection::onPeerClosed() {
    const bool errorPending = !pipeline.empty() && pipeline.front()->refusedAt.has_value();
    if (!errorPending)
        return close(CloseMode::graceful);
    peerClosedSending = true;
    readAhead.clear();
    countCommandBytes();
}

std::shared_ptr<Exchange> ServerConnection::addExchange() {
    pipeline.push_back(std::make_shared<Exchange>());
    pipeline.back()->connection = weak_from_this();
    return pipeline.back();
}

void ServerConnection::processReadAhead() {
    const auto self = shared_from_this();
    if (mayProcessReadAhead())
        takeCommand();
    countCommandBytes();
    resumeInput();
}

void ServerConnection::takeCommand() {
    if (!parser.started())
        commandStartTime = steadyNow();
    readAhead.consume(parser.feed(readAhead.view()));
    if (parser.faulty())
        return fail(parser.fault());
    if (!parser.done())
        return;
    ++commandsSinceSweep;
    const auto exchange = addExchange();
    exchange->commandBytes = parser.bufferedBytes();
    for (auto &item : parser.take().items)
        exchange->args.push_back(std::move(*item));
    listener->handler(exchange);
}

bool ServerConnection::mayProcessReadAhead() const {
    return !readAhead.empty() && !stream.isClosed() && !inputFaulty && !lingering &&
           canAcceptCommand();
}

// Goes on after a change of what pauses reading or parsing. Does nothing if both are still paused.
void ServerConnection::resumeInput() {
    read();
    scheduleReadAhead();
}

// Posted to the event loop, so that many pipelined commands neither recurse nor delay other
// connections.
void ServerConnection::scheduleReadAhead() {
    if (readAheadScheduled || !mayProcessReadAhead())
        return;
    readAheadScheduled = true;
    stream.post([self = shared_from_this()] {
        self->readAheadScheduled = false;
        self->processReadAhead();
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
    resumeInput();
}

void ServerConnection::write() {
    if (writing || stream.isClosed())
        return;
    asio::error_code fault;
    while (!outgoing.empty() && !fault) {
        const std::string_view unsent = outgoing.view();
        const auto size =
            stream.socket.write_some(asio::buffer(unsent.data(), unsent.size()), fault);
        outgoing.consume(size);
        if (size > 0)
            lastWriteProgress = steadyNow();
    }
    if (fault && fault != asio::error::would_block)
        return closeLater();
    if (outgoing.empty())
        return onAllWritten();
    awaitWritable();
    resumeInput();
}

void ServerConnection::onAllWritten() {
    if (pipeline.empty() && peerClosedSending)
        return close(CloseMode::graceful);
    if (pipeline.empty() && inputFaulty)
        return linger();
    resumeInput();
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
