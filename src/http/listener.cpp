#include "../base/socket.hpp"
#include "server_connection.hpp"

namespace deckcart::http {

using asio::ip::tcp;

namespace {

// Guards against a loop on the same fault while descriptors are out. Harm: the loop runs hot.
constexpr auto kAcceptRetry = std::chrono::milliseconds(20);

}  // namespace

Listener::Core::Core(asio::io_context &loop, const tcp::endpoint &address,
                     const ListenerLimits &listenerLimits, Handler requestHandler)
    : context(loop), acceptor(loop), limits(listenerLimits), handler(std::move(requestHandler)),
      retry(loop) {
    listenAt(acceptor, address);
    local = acceptor.local_endpoint();
}

void Listener::Core::accept() {
    if (draining || accepting || !acceptor.is_open())
        return;
    if (open.size() >= limits.connections)
        return;  // onClosed() goes on
    accepting = true;
    acceptor.async_accept([self = shared_from_this()](asio::error_code fault, tcp::socket socket) {
        self->accepting = false;
        if (self->draining || fault == asio::error::operation_aborted)
            return;
        if (fault) {  // out of descriptors, or a peer that left at once: neither ends the listener
            self->retry.expires_after(kAcceptRetry);
            self->retry.async_wait([self](asio::error_code) { self->accept(); });
            return;
        }
        const auto connection = std::make_shared<ServerConnection>(self, std::move(socket));
        self->open.insert(connection.get());
        connection->start();
        self->accept();
    });
}

void Listener::Core::onClosed(ServerConnection *connection) {
    open.erase(connection);
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
    return core->local;
}

void Listener::limit(const ListenerLimits &limits) {
    core->limits = limits;
    core->accept();
}

std::size_t Listener::connections() const {
    return core->open.size();
}

void Listener::drain() {
    core->draining = true;
    asio::error_code ignored;
    core->acceptor.close(ignored);
    for (ServerConnection *connection : std::set<ServerConnection *>(core->open))
        connection->drain();
}

void Listener::close() {
    drain();
    for (ServerConnection *connection : std::set<ServerConnection *>(core->open))
        connection->shut(net::CloseMode::reset);
    core->handler = [](const std::shared_ptr<Exchange> &) {};
}

}  // namespace deckcart::http
