#include "server_connection.hpp"

#include <algorithm>

#include "../base/socket.hpp"

namespace deckcart::resp {

using asio::ip::tcp;
using net::CloseMode;

namespace {

// Of a refused peer's bytes: then its connection is cut. Guards against one that never stops. Harm:
// its bytes cost time without end.
constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;
// Guards against one long answer that keeps its buffer. Harm: idle connections hold memory.
constexpr std::size_t kKeptBufferBytes = 4096;

SteadyTime steadyNow() {
    return std::chrono::steady_clock::now();
}

}  // namespace

ServerConnection::ServerConnection(std::shared_ptr<Listener::Core> owner, tcp::socket accepted)
    : listener(std::move(owner)), stream(std::move(accepted)),
      parser(Parser::What::command, listener->limits.message), activeSince(steadyNow()) {
    configureSocket(stream.socket);
}

void ServerConnection::read() {
    // Also where nothing more is taken up yet: a close shows itself behind what has been read.
    if (stream.isClosed() || stream.isAwaitingRead() || peerEnded ||
        readAhead.size() >= listener->limits.readAheadBytes || discardedBytes > kMaxDiscardedBytes)
        return;
    stream.awaitRead([self = shared_from_this()](asio::error_code fault) {
        if (fault)
            return self->shut(CloseMode::graceful);
        self->readable();
    });
}

ConnectionState ServerConnection::state(SteadyTime now) const {
    const auto lengthSince = [now](SteadyTime from) {
        return std::chrono::duration_cast<Duration>(now - from);
    };
    ConnectionState current;
    current.inFlight = !pipeline.empty();
    current.refused = current.inFlight && pipeline.front()->refused;
    current.errorDue = errorDueAt != SteadyTime{} && now >= errorDueAt;
    current.lingering = lingering;
    current.spoke = spoke;
    current.unread = unread;
    current.begun = parser.begun();
    current.writing = !outgoing.empty();
    current.quietFor = lengthSince(activeSince);
    current.begunFor = lengthSince(commandSince);
    current.streamStallTimeout = lengthSince(writeProgress);
    return current;
}

bool ServerConnection::hasUnread() {
    unread = pipeline.empty() && !lingering && peekReadState(stream.socket) == ReadState::bytes;
    return unread;
}

bool ServerConnection::peerThere() {
    if (stream.isClosed() || peekReadState(stream.socket) != ReadState::end)
        return !stream.isClosed();
    shutLater();
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
        return shut(CloseMode::reset);
    case TimeoutAction::close:
        return shut(CloseMode::graceful);
    // What has come meanwhile crosses the time that is up, and is served.
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

void ServerConnection::shut(CloseMode how) {
    if (!stream.close(how))
        return;
    const auto self = shared_from_this();
    listener->open.erase(self);
    listener->onClosed();
    for (const auto &exchange : std::exchange(pipeline, {})) {
        exchange->connection.reset();
        const auto notify = std::exchange(exchange->onGone, nullptr);
        if (notify && !exchange->answered)
            notify();
    }
}

// Not from within the writer's own call: it would be notified before its call returns.
void ServerConnection::shutLater() {
    stream.post([self = shared_from_this()] { self->shut(CloseMode::graceful); });
}

void ServerConnection::onAnswered() {
    if (stream.isClosed())
        return;
    bool anyAnswered = false;
    while (!pipeline.empty() && pipeline.front()->answered) {
        outgoing += pipeline.front()->reply;
        if (pipeline.front()->refused)
            errorDueAt = {};
        pipeline.pop_front();
        anyAnswered = true;
    }
    if (!anyAnswered)
        return;
    activeSince = steadyNow();
    write();
}

void ServerConnection::onRefused() {
    errorDueAt = steadyNow() + listener->limits.refusalAfter;
}

bool ServerConnection::mayTakeUp() const {
    return errorDueAt == SteadyTime{} && pipeline.size() < listener->limits.pipelined &&
           outgoing.size() - writtenBytes < listener->limits.waitingBytes;
}

void ServerConnection::readable() {
    asio::error_code fault;
    const auto size = stream.socket.read_some(asio::buffer(listener->buffer), fault);
    unread = false;
    if (fault == asio::error::would_block)
        return read();
    if (fault)
        return onReadFault(fault);
    if (lingering || faulty) {
        discardedBytes += size;
        if (discardedBytes > kMaxDiscardedBytes && lingering)
            return shut(CloseMode::graceful);
        return read();
    }
    if (!readAhead.empty() || !mayTakeUp()) {
        readAhead.append(listener->buffer.data(), size);
        resumeReadAhead();
        return read();
    }
    if (!spoke || pipeline.empty())
        activeSince = steadyNow();
    spoke = true;
    const auto self = shared_from_this();
    feed({listener->buffer.data(), size});
    read();
}

// A peer that ends its sending is gone, but for the error that is due to it, when its time comes.
void ServerConnection::onReadFault(asio::error_code fault) {
    const bool errorWaits =
        !pipeline.empty() && pipeline.front()->refused && !pipeline.front()->answered;
    if (fault == asio::error::eof && errorWaits)
        peerEnded = true;
    else
        shut(CloseMode::graceful);
}

std::shared_ptr<Exchange> ServerConnection::addExchange() {
    pipeline.push_back(std::make_shared<Exchange>());
    pipeline.back()->connection = weak_from_this();
    return pipeline.back();
}

void ServerConnection::feed(std::string_view bytes) {
    while (!bytes.empty() && !stream.isClosed() && !faulty) {
        if (!mayTakeUp()) {
            readAhead.append(bytes);
            return;
        }
        if (!parser.begun())
            commandSince = steadyNow();
        bytes.remove_prefix(parser.feed(bytes));
        if (parser.faulty())
            return fail(parser.fault());
        if (!parser.done())
            continue;
        const auto exchange = addExchange();
        for (auto &item : parser.take().items)
            exchange->args.push_back(std::move(*item));
        // The buffer is shared: what is left of it must not be lost if the handler comes back here.
        const std::string rest(bytes);
        listener->handler(exchange);
        if (rest.empty() || stream.isClosed() || faulty)
            return;
        readAhead.insert(0, rest);
        return resumeReadAhead();
    }
}

// On a turn of its own, so that a long pipeline neither nests nor holds up others.
void ServerConnection::resumeReadAhead() {
    if (resumePosted || readAhead.empty() || stream.isClosed() || faulty || !mayTakeUp())
        return;
    resumePosted = true;
    stream.post([self = shared_from_this()] {
        self->resumePosted = false;
        if (self->stream.isClosed() || self->faulty || !self->mayTakeUp())
            return;
        const std::string bytes = std::exchange(self->readAhead, {});
        self->feed(bytes);
        self->read();
    });
}

// What can't be read: what was taken before is still answered, then the message, then the end.
void ServerConnection::fail(const std::string &message) {
    faulty = true;
    readAhead.clear();
    addExchange()->refuse("ERR " + message);
}

void ServerConnection::sendDueError() {
    errorDueAt = {};
    const auto refused = std::ranges::find_if(
        pipeline, [](const auto &exchange) { return exchange->refused && !exchange->answered; });
    if (refused == pipeline.end())
        return;
    (*refused)->answered = true;
    onAnswered();
    if (!pipeline.empty() && errorDueAt == SteadyTime{}) {
        read();
        resumeReadAhead();
    }
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
        return shutLater();
    if (writtenBytes > before || before == 0)
        writeProgress = steadyNow();
    if (writtenBytes == outgoing.size())
        return onAllWritten();
    awaitWritable();
    read();
    resumeReadAhead();
}

void ServerConnection::onAllWritten() {
    outgoing.clear();
    writtenBytes = 0;
    if (outgoing.capacity() > kKeptBufferBytes)
        outgoing.shrink_to_fit();
    if (pipeline.empty() && peerEnded)
        return shut(CloseMode::graceful);
    if (pipeline.empty() && faulty)
        return linger();
    read();
    resumeReadAhead();
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
                                     return self->shut(CloseMode::graceful);
                                 self->write();
                             });
}

// Lets the peer read the last answer before the connection goes: unread bytes would turn it into a
// reset.
void ServerConnection::linger() {
    if (stream.isClosed() || lingering)
        return;
    lingering = true;
    faulty = false;
    discardedBytes = 0;
    activeSince = steadyNow();
    errorDueAt = {};
    asio::error_code ignored;
    stream.socket.shutdown(tcp::socket::shutdown_send, ignored);
    read();
}

}  // namespace deckcart::resp
