#include "../base/socket.hpp"
#include "server_connection.hpp"

namespace deckcart::http {

using asio::ip::tcp;

namespace {

// Delay before accepting again after an error. Without it, running out of file descriptors would
// make the event loop spin on the same error.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);

}  // namespace

Listener::Core::Core(asio::io_context &loop, const tcp::endpoint &address,
                     const ListenerLimits &listenerLimits, Handler requestHandler)
    : context(loop), acceptor(loop), limits(listenerLimits), handler(std::move(requestHandler)),
      acceptRetryTimer(loop) {
    listenAt(acceptor, address);
    localAddress = acceptor.local_endpoint();
}

void Listener::Core::accept() {
    if (draining || acceptPending || !acceptor.is_open())
        return;
    if (openConnections.size() >= limits.connections)
        return;  // onClosed() resumes accepting
    acceptPending = true;
    acceptor.async_accept([self = shared_from_this()](asio::error_code fault, tcp::socket socket) {
        self->acceptPending = false;
        if (self->draining || fault == asio::error::operation_aborted)
            return;
        if (fault) {  // out of file descriptors, or the peer disconnected at once
            self->acceptRetryTimer.expires_after(kAcceptRetryDelay);
            self->acceptRetryTimer.async_wait([self](asio::error_code) { self->accept(); });
            return;
        }
        const auto connection = std::make_shared<ServerConnection>(self, std::move(socket));
        self->openConnections.insert(connection.get());
        connection->start();
        self->accept();
    });
}

void Listener::Core::onClosed(ServerConnection *connection) {
    openConnections.erase(connection);
    accept();
}

Listener::Listener(asio::io_context &context, const tcp::endpoint &address, ListenerLimits limits,
                   Handler handler)
    : core(std::make_shared<Core>(context, address, limits, std::move(handler))) {
    core->accept();
}

Listener::~Listener() {
    close();
}

tcp::endpoint Listener::address() const {
    return core->localAddress;
}

void Listener::limit(const ListenerLimits &limits) {
    core->limits = limits;
    core->accept();
}

std::size_t Listener::connections() const {
    return core->openConnections.size();
}

void Listener::drain() {
    core->draining = true;
    asio::error_code ignored;
    core->acceptor.close(ignored);
    for (ServerConnection *connection : std::set<ServerConnection *>(core->openConnections))
        connection->drain();
}

void Listener::close() {
    drain();
    for (ServerConnection *connection : std::set<ServerConnection *>(core->openConnections))
        connection->close(net::CloseMode::reset);
    core->handler = [](const std::shared_ptr<Exchange> &) {};
}

}  // namespace deckcart::http
