// What a Listener and its connections share. Kept alive by the connections, so that the Listener
// may go before them.
#pragma once

#include <array>
#include <set>

#include "server.hpp"

namespace deckcart::resp {

using SteadyTime = std::chrono::steady_clock::time_point;

struct Listener::Core : std::enable_shared_from_this<Listener::Core> {
    /// Opens, binds and listens. Throws std::system_error.
    Core(asio::io_context &loop, const asio::ip::tcp::endpoint &address,
         const ListenerLimits &listenerLimits, Handler commandHandler);

    void accept();
    void acceptWaiting();
    void retryLater();
    void sweep();
    /// Closes the connection that can best be spared; false if none can.
    bool makeRoom();
    std::shared_ptr<ServerConnection> leastNeeded(SteadyTime now) const;
    /// A connection or the acceptor has closed.
    void onClosed();
    /// Also where connections close meanwhile.
    void forEachConnection(auto action) {
        const std::vector<std::shared_ptr<ServerConnection>> all(open.begin(), open.end());
        for (const auto &connection : all)
            action(*connection);
    }

    asio::io_context &context;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::endpoint local;
    ListenerLimits limits;
    Handler handler;
    asio::steady_timer retry;
    asio::steady_timer sweeper;
    std::set<std::shared_ptr<ServerConnection>> open;
    bool draining = false;
    bool closed = false;
    std::function<void()> onEmpty;
    std::array<char, 16 * 1024> buffer{};  // shared: an idle connection holds none of its own
};

}  // namespace deckcart::resp
