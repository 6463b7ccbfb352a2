#include "../base/socket.hpp"
#include "server_connection.hpp"

namespace deckcart::resp {

using asio::ip::tcp;

namespace {

// How exactly timeouts are kept.
constexpr auto kSweepEvery = std::chrono::milliseconds(100);
// Guards against a loop on the same fault while places or descriptors are out. Harm: it runs hot.
constexpr auto kAcceptRetry = std::chrono::milliseconds(20);
// A turn's share: floods don't hold up who is connected.
constexpr int kAcceptsAtOnce = 32;

}  // namespace

Listener::Core::Core(asio::io_context &loop, const tcp::endpoint &address,
                     const ListenerLimits &listenerLimits, Handler commandHandler)
    : context(loop), acceptor(loop), limits(listenerLimits), handler(std::move(commandHandler)),
      retry(loop), sweeper(loop) {
    listenAt(acceptor, address);
    local = acceptor.local_endpoint();
}

void Listener::Core::accept() {
    if (draining || closed)
        return;
    acceptor.async_wait(tcp::acceptor::wait_read,
                        [self = shared_from_this()](asio::error_code fault) {
                            if (fault || self->closed || self->draining)
                                return;
                            self->acceptWaiting();
                        });
}

void Listener::Core::acceptWaiting() {
    for (int accepted = 0; accepted < kAcceptsAtOnce; ++accepted) {
        if (open.size() >= limits.connections && !makeRoom())
            return retryLater();
        asio::error_code fault;
        tcp::socket socket(context);
        acceptor.accept(socket, fault);
        if (fault == asio::error::would_block) {
            if (!draining)
                return accept();
            // To its end: whom the kernel has accepted may have asked already.
            acceptor.close(fault);
            return onClosed();
        }
        if (fault)  // out of descriptors
            return retryLater();
        const auto connection =
            std::make_shared<ServerConnection>(shared_from_this(), std::move(socket));
        open.insert(connection);
        connection->read();
    }
    if (!draining)
        return accept();
    asio::post(context, [self = shared_from_this()] {
        if (!self->closed && self->acceptor.is_open())
            self->acceptWaiting();
    });
}

void Listener::Core::retryLater() {
    retry.expires_after(kAcceptRetry);
    retry.async_wait([self = shared_from_this()](asio::error_code stopped) {
        if (!stopped && !self->closed)
            self->acceptWaiting();
    });
}

void Listener::Core::onClosed() {
    if (draining && !acceptor.is_open() && open.empty() && onEmpty)
        asio::post(context, std::exchange(onEmpty, nullptr));
}

// Among equals who has been quiet for the longest.
std::shared_ptr<ServerConnection> Listener::Core::leastNeeded(SteadyTime now) const {
    std::shared_ptr<ServerConnection> chosen;
    int highest = 0;
    for (const auto &connection : open) {
        const int priority = evictionPriority(connection->state(now), limits);
        if (priority > highest || (priority == highest && priority > 0 &&
                                   connection->lastActive() < chosen->lastActive())) {
            chosen = connection;
            highest = priority;
        }
    }
    return chosen;
}

bool Listener::Core::makeRoom() {
    const SteadyTime now = std::chrono::steady_clock::now();
    while (const auto connection = leastNeeded(now)) {
        if (connection->hasUnread())
            continue;
        connection->shut(net::CloseMode::graceful);
        return true;
    }
    return false;
}

void Listener::Core::sweep() {
    if (closed)
        return;
    const SteadyTime now = std::chrono::steady_clock::now();
    const bool underPressure = isUnderPressure(open.size(), limits);
    forEachConnection([&](ServerConnection &connection) {
        connection.sweep(now, underPressure);
        if (draining)
            connection.drain();
    });
    sweeper.expires_after(kSweepEvery);
    sweeper.async_wait([weak = weak_from_this()](asio::error_code fault) {
        if (const auto self = weak.lock(); self && !fault)
            self->sweep();
    });
}

Listener::Listener(asio::io_context &context, const tcp::endpoint &address,
                   const ListenerLimits &limits, Handler handler)
    : core(std::make_shared<Core>(context, address, limits, std::move(handler))) {
    core->sweep();
}

void Listener::open() {
    core->accept();
}

// NOLINTNEXTLINE(bugprone-exception-escape): lack of memory ends the program wherever it shows
Listener::~Listener() {
    core->closed = true;
    core->onEmpty = nullptr;
    core->handler = [](const std::shared_ptr<Exchange> &) {};
    asio::error_code ignored;
    core->acceptor.close(ignored);
    core->retry.cancel();
    core->sweeper.cancel();
    core->forEachConnection(
        [](ServerConnection &connection) { connection.shut(net::CloseMode::graceful); });
}

tcp::endpoint Listener::address() const {
    return core->local;
}

std::size_t Listener::connections() const {
    return core->open.size();
}

void Listener::drain(std::function<void()> empty) {
    core->draining = true;
    core->onEmpty = std::move(empty);
    asio::error_code ignored;
    core->acceptor.cancel(ignored);
    core->retry.cancel();
    core->acceptWaiting();
    core->forEachConnection([](ServerConnection &connection) { connection.drain(); });
    core->onClosed();
}

}  // namespace deckcart::resp
