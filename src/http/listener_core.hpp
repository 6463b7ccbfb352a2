// What a Listener and its connections share. Kept alive by the connections, so that the Listener
// may go before them.
#pragma once

#include <array>

#include "server.hpp"

namespace deckcart::http {

struct Listener::Core : std::enable_shared_from_this<Listener::Core> {
    /// Opens, binds and listens. Throws std::system_error.
    Core(asio::io_context &loop, const asio::ip::tcp::endpoint &address,
         const ListenerLimits &listenerLimits, Handler requestHandler);

    void accept();
    /// A connection has closed: its place is free.
    void onClosed(ServerConnection *connection);

    asio::io_context &context;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::endpoint local;
    ListenerLimits limits;
    Handler handler;
    asio::steady_timer retry;
    std::set<ServerConnection *> open;
    bool draining = false;
    bool accepting = false;
    std::array<char, 64 * 1024> buffer{};  // shared: an idle connection holds none of its own
};

}  // namespace deckcart::http
