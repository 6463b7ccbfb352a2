// Idle connections to endpoints, most recently used last. A connection is kept until it is taken,
// has been idle for too long or is closed by the peer. Used by the connection pools of both
// transports.
#pragma once

#include <deckcart/policy.hpp>
#include <deque>
#include <map>
#include <memory>

#include "../base/callback_guard.hpp"

namespace deckcart {

/// `Connection` must have idleSince, onIdleClosed and drop(). Owns the connections and drops them
/// on destruction. Not thread-safe.
template <class Connection>
class IdleConnections {
  public:
    using ConnectionPtr = std::shared_ptr<Connection>;
    /// What to do with an idle connection: take it, skip it, or drop it.
    enum class Decision { take, skip, drop };

    IdleConnections() = default;
    ~IdleConnections() {
        for (auto &[endpoint, connections] : byEndpoint)
            for (const ConnectionPtr &connection : connections)
                drop(connection);
    }
    IdleConnections(const IdleConnections &) = delete;
    IdleConnections &operator=(const IdleConnections &) = delete;

    /// Keeps a connection that became idle at `now`; removes it when the peer closes it.
    void keep(const EndpointId &endpoint, const ConnectionPtr &connection, TimePoint now) {
        connection->idleSince = now;
        connection->onIdleClosed = guard.wrap([this, endpoint, weak = std::weak_ptr(connection)] {
            const auto closed = weak.lock();
            const auto found = byEndpoint.find(endpoint);
            if (closed && found != byEndpoint.end())
                std::erase(found->second, closed);
        });
        byEndpoint[endpoint].push_back(connection);
    }

    /// Returns the most recently used connection that `decide` allows to be taken, so that the
    /// others can reach their idle time-out. Null if there is none.
    template <class Decide>
    [[nodiscard]] ConnectionPtr take(const EndpointId &endpoint, Decide decide) {
        const auto found = byEndpoint.find(endpoint);
        if (found == byEndpoint.end())
            return nullptr;
        auto &connections = found->second;
        for (std::size_t index = connections.size(); index-- > 0;) {
            ConnectionPtr connection = connections[index];
            const Decision decision = decide(*connection);
            if (decision == Decision::skip)
                continue;
            connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(index));
            connection->onIdleClosed = nullptr;
            if (decision == Decision::take)
                return connection;
            connection->drop();
        }
        return nullptr;
    }

    /// Drops all connections to an endpoint.
    void close(const EndpointId &endpoint) {
        const auto found = byEndpoint.find(endpoint);
        if (found == byEndpoint.end())
            return;
        const auto connections = std::move(found->second);
        byEndpoint.erase(found);
        for (const ConnectionPtr &connection : connections)
            drop(connection);
    }

    /// Drops connections that have been idle for `idleFor` or longer.
    void sweep(TimePoint now, Duration idleFor) {
        for (auto it = byEndpoint.begin(); it != byEndpoint.end();) {
            auto &connections = it->second;
            while (!connections.empty() && now - connections.front()->idleSince >= idleFor)
                dropFirst(connections);
            it = connections.empty() ? byEndpoint.erase(it) : std::next(it);
        }
    }

    /// Drops the connection that has been idle for the longest time, across all endpoints.
    void dropOldest() {
        Connections *oldest = nullptr;
        for (auto &[endpoint, connections] : byEndpoint) {
            if (connections.empty())
                continue;
            if (!oldest || connections.front()->idleSince < oldest->front()->idleSince)
                oldest = &connections;
        }
        if (oldest)
            dropFirst(*oldest);
    }

    std::size_t size() const {
        std::size_t total = 0;
        for (const auto &[endpoint, connections] : byEndpoint)
            total += connections.size();
        return total;
    }

  private:
    using Connections = std::deque<ConnectionPtr>;

    static void drop(const ConnectionPtr &connection) {
        connection->onIdleClosed = nullptr;
        connection->drop();
    }
    static void dropFirst(Connections &connections) {
        drop(connections.front());
        connections.pop_front();
    }

    std::map<EndpointId, Connections> byEndpoint;
    CallbackGuard guard;
};

}  // namespace deckcart
