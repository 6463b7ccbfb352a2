// State shared by a Listener and its connections. The connections keep it alive, so that the
// Listener may be destroyed before them.
#pragma once

#include <array>
#include <optional>
#include <set>

#include "server.hpp"

namespace deckcart::resp {

struct Listener::Core : std::enable_shared_from_this<Listener::Core> {
    /// Opens the acceptor, binds it and listens. Throws std::system_error.
    Core(asio::io_context &loop, const asio::ip::tcp::endpoint &address,
         const ListenerLimits &listenerLimits, Handler commandHandler);

    /// Waits for connections, then accepts them.
    void accept();
    /// Accepts the connections in the backlog, a limited number per turn of the event loop.
    void acceptBacklog();
    /// Accepts again after a delay.
    void retryLater();
    /// Records for how long accepting has waited at the connection limit.
    void noteAcceptWait();
    /// Applies the timeouts of all connections, now and then periodically.
    void sweep();
    /// Whether one more connection may be accepted; evicts another one at the limit.
    bool makePlace();
    /// Closes the connection with the highest eviction priority; false if none can be evicted.
    bool evictOne();
    /// At the limit of command bytes, closes connections whose command stays incomplete, those that
    /// hold the most first; see commandBytesAfterEviction().
    void evictIncompleteCommands(SteadyTime now);
    /// The connection to evict, or nullptr. Among equal priorities, the one idle for the longest.
    std::shared_ptr<ServerConnection> evictionCandidate(SteadyTime now) const;
    /// Called after a connection or the acceptor was closed; ends the drain when all are closed.
    void onClosed();
    /// Calls `action` for each connection. The action may close connections.
    void forEachConnection(auto action) {
        const std::vector<std::shared_ptr<ServerConnection>> all(openConnections.begin(),
                                                                 openConnections.end());
        for (const auto &connection : all)
            action(*connection);
    }

    asio::io_context &context;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::endpoint localAddress;
    ListenerLimits limits;
    Handler handler;
    PlaceLender lender;
    asio::steady_timer acceptRetryTimer;
    asio::steady_timer sweepTimer;
    std::set<std::shared_ptr<ServerConnection>> openConnections;
    std::optional<SteadyTime> acceptWaitingSince;  // at the connection limit
    Duration longestAcceptWait{};
    std::uint64_t evictions = 0;
    std::size_t commandBytes = 0;  // held by all connections
    bool draining = false;
    bool closed = false;
    std::function<void()> onEmpty;
    std::array<char, 16 * 1024> readBuffer{};  // shared by all connections to save memory
};

}  // namespace deckcart::resp
