// State shared by a Listener and its connections. The connections keep it alive, so that the
// Listener may be destroyed before them.
#pragma once

#include <array>

#include "server.hpp"

namespace deckcart::http {

struct Listener::Core : std::enable_shared_from_this<Listener::Core> {
    /// Opens the acceptor, binds it and listens. Throws std::system_error.
    Core(asio::io_context &loop, const asio::ip::tcp::endpoint &address,
         const ListenerLimits &listenerLimits, Handler requestHandler);

    /// Accepts the next connection unless draining or at the limit.
    void accept();
    /// Removes a closed connection and resumes accepting.
    void onClosed(ServerConnection *connection);

    asio::io_context &context;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::endpoint localAddress;
    ListenerLimits limits;
    Handler handler;
    asio::steady_timer acceptRetryTimer;
    std::set<ServerConnection *> openConnections;
    bool draining = false;
    bool acceptPending = false;
    std::array<char, 64 * 1024> readBuffer{};  // shared by all connections to save memory
};

}  // namespace deckcart::http
