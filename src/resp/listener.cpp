#include <algorithm>
#include <functional>

#include "../base/socket.hpp"
#include "server_connection.hpp"

namespace deckcart::resp {

using asio::ip::tcp;

namespace {

// Resolution of the timeouts.
constexpr auto kSweepInterval = std::chrono::milliseconds(100);
// Delay before accepting again at the connection limit or after an error. Without it, the event
// loop would spin on the same condition.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);
// Per turn of the event loop, so that a flood of new connections does not delay the open ones.
constexpr int kMaxAcceptsPerTurn = 32;

}  // namespace

Listener::Core::Core(asio::io_context &loop, const tcp::endpoint &address,
                     const ListenerLimits &listenerLimits, Handler commandHandler)
    : context(loop), acceptor(loop), limits(listenerLimits), handler(std::move(commandHandler)),
      acceptRetryTimer(loop), sweepTimer(loop) {
    listenAt(acceptor, address);
    localAddress = acceptor.local_endpoint();
}

void Listener::Core::accept() {
    if (draining || closed)
        return;
    acceptor.async_wait(tcp::acceptor::wait_read,
                        [self = shared_from_this()](asio::error_code fault) {
                            if (fault || self->closed || self->draining)
                                return;
                            self->acceptBacklog();
                        });
}

void Listener::Core::acceptBacklog() {
    for (int accepted = 0; accepted < kMaxAcceptsPerTurn; ++accepted) {
        if (!makePlace()) {
            noteAcceptWait();
            return retryLater();
        }
        acceptWaitingSince.reset();
        asio::error_code fault;
        tcp::socket socket(context);
        acceptor.accept(socket, fault);
        if (fault == asio::error::would_block) {
            if (!draining)
                return accept();
            // During a drain, the acceptor is closed only when the backlog is empty, since
            // connections in it may have sent commands already.
            acceptor.close(fault);
            return onClosed();
        }
        if (fault)  // out of file descriptors
            return retryLater();
        const auto connection =
            std::make_shared<ServerConnection>(shared_from_this(), std::move(socket));
        openConnections.insert(connection);
        connection->read();
    }
    if (!draining)
        return accept();
    asio::post(context, [self = shared_from_this()] {
        if (!self->closed && self->acceptor.is_open())
            self->acceptBacklog();
    });
}

void Listener::Core::retryLater() {
    acceptRetryTimer.expires_after(kAcceptRetryDelay);
    acceptRetryTimer.async_wait([self = shared_from_this()](asio::error_code stopped) {
        if (!stopped && !self->closed)
            self->acceptBacklog();
    });
}

void Listener::Core::noteAcceptWait() {
    const SteadyTime now = std::chrono::steady_clock::now();
    if (!acceptWaitingSince)
        acceptWaitingSince = now;
    longestAcceptWait = std::max(longestAcceptWait,
                                 std::chrono::duration_cast<Duration>(now - *acceptWaitingSince));
}

void Listener::Core::onClosed() {
    if (draining && !acceptor.is_open() && openConnections.empty() && onEmpty)
        asio::post(context, std::exchange(onEmpty, nullptr));
}

std::shared_ptr<ServerConnection> Listener::Core::evictionCandidate(SteadyTime now) const {
    std::shared_ptr<ServerConnection> chosen;
    int highest = 0;
    for (const auto &connection : openConnections) {
        const int priority = evictionPriority(connection->state(now), limits);
        if (priority > highest || (priority == highest && priority > 0 &&
                                   connection->lastActive() < chosen->lastActive())) {
            chosen = connection;
            highest = priority;
        }
    }
    return chosen;
}

bool Listener::Core::makePlace() {
    return openConnections.size() < limits.connections || evictOne() || (lender && lender());
}

bool Listener::Core::evictOne() {
    const SteadyTime now = std::chrono::steady_clock::now();
    while (const auto connection = evictionCandidate(now)) {
        if (connection->checkUnreadBytes())
            continue;
        connection->close(net::CloseMode::graceful);
        ++evictions;
        return true;
    }
    return false;
}

void Listener::Core::evictIncompleteCommands(SteadyTime now) {
    if (commandBytes < limits.commandBytes)
        return;
    std::vector<std::shared_ptr<ServerConnection>> incomplete;
    for (const auto &connection : openConnections)
        if (isIncompleteTooLong(connection->state(now), limits))
            incomplete.push_back(connection);
    std::ranges::sort(incomplete, std::greater{},
                      [](const auto &connection) { return connection->commandBytes(); });
    for (const auto &connection : incomplete) {
        if (commandBytes < commandBytesAfterEviction(limits))
            return;
        connection->close(net::CloseMode::graceful);
        ++evictions;
    }
}

void Listener::Core::sweep() {
    if (closed)
        return;
    const SteadyTime now = std::chrono::steady_clock::now();
    evictIncompleteCommands(now);
    const bool underPressure = isUnderPressure(openConnections.size(), limits);
    forEachConnection([&](ServerConnection &connection) {
        connection.sweep(now, underPressure);
        if (draining)
            connection.drain();
    });
    sweepTimer.expires_after(kSweepInterval);
    sweepTimer.async_wait([weak = weak_from_this()](asio::error_code fault) {
        if (const auto self = weak.lock(); self && !fault)
            self->sweep();
    });
}

Listener::Listener(asio::io_context &context, const tcp::endpoint &address,
                   const ListenerLimits &limits, Handler handler)
    : core(std::make_shared<Core>(context, address, limits, std::move(handler))) {
    core->sweep();
}

void Listener::borrowPlaces(PlaceLender lender) {
    core->lender = std::move(lender);
}

void Listener::open() {
    core->accept();
}

// NOLINTNEXTLINE(bugprone-exception-escape): running out of memory ends the program anyway
Listener::~Listener() {
    core->closed = true;
    core->onEmpty = nullptr;
    core->handler = [](const std::shared_ptr<Exchange> &) {};
    core->lender = nullptr;
    asio::error_code ignored;
    core->acceptor.close(ignored);
    core->acceptRetryTimer.cancel();
    core->sweepTimer.cancel();
    core->forEachConnection(
        [](ServerConnection &connection) { connection.close(net::CloseMode::graceful); });
}

tcp::endpoint Listener::address() const {
    return core->localAddress;
}

std::size_t Listener::connections() const {
    return core->openConnections.size();
}

ListenerStatistics Listener::statistics() const {
    ListenerStatistics result;
    result.evictions = core->evictions;
    result.commandBytes = core->commandBytes;
    result.longestAcceptWait = core->longestAcceptWait;
    const SteadyTime now = std::chrono::steady_clock::now();
    for (const auto &connection : core->openConnections) {
        result.incompleteCommands += connection->state(now).commandStarted ? 1 : 0;
        result.bufferedBytes += connection->bufferedBytes();
        if (const auto errorWait = connection->errorWait(now)) {
            ++result.pendingErrors;
            result.longestErrorWait = std::max(result.longestErrorWait, *errorWait);
        }
    }
    return result;
}

void Listener::drain(std::function<void()> onEmpty) {
    core->draining = true;
    core->onEmpty = std::move(onEmpty);
    asio::error_code ignored;
    core->acceptor.cancel(ignored);
    core->acceptRetryTimer.cancel();
    core->acceptBacklog();
    core->forEachConnection([](ServerConnection &connection) { connection.drain(); });
    core->onClosed();
}

}  // namespace deckcart::resp
