// Calls endpoints over RESP2, with one request at a time per connection and one limit on the
// connections to all endpoints together; implements UpstreamPool of gateway/transport.hpp. Created
// by PlatformTransport. The decision module chooses the endpoints.
#pragma once

#include "../base/callback_guard.hpp"
#include "../base/clock.hpp"
#include "../gateway/idle_connections.hpp"
#include "../gateway/transport.hpp"
#include "../resp/client.hpp"
#include "../simulator/settings_codec.hpp"
#include "endpoint_directory.hpp"
#include "resource_limits.hpp"

namespace deckcart::platform {

/// A pool of connections to endpoints. Calls and probes may outlive the pool; their connections are
/// then closed. Not thread-safe: all calls and callbacks are made on the io_context's thread.
class RespUpstreamPool : public UpstreamPool {
  public:
    /// @param clock,directory,settings  must outlive this object
    RespUpstreamPool(asio::io_context &context, const Clock &clock,
                     const EndpointDirectory &directory, const ResourceLimits &limits,
                     const simulator::DeploymentSettings &settings);

    std::shared_ptr<UpstreamCall> createCall(const EndpointId &endpoint) override;
    void closeIdle(const EndpointId &endpoint) override { idle.close(endpoint); }
    void closeExpired(Duration now) override { idle.sweep(now, limits.upstreamIdleTimeout); }
    Duration sweepInterval() const override { return limits.idleSweepInterval; }
    void probe(const EndpointId &endpoint, ProbeCallback done) override;
    /// Makes room for one more connection of a client beyond the clients' share of the sockets, by
    /// closing idle connections. False if endpoints need their share.
    [[nodiscard]] bool lendSocket();
    /// Tells how many connections clients hold. Call before clients connect.
    void observeClients(std::function<std::size_t()> count) { clientCount = std::move(count); }
    /// Number of open connections, in use and idle.
    [[nodiscard]] std::size_t connections() const { return connectionsInUse + idle.size(); }

  private:
    class RespCall;

    struct EndpointConnection : resp::ClientConnection {
        EndpointConnection(asio::io_context &context, resp::Limits replyLimits,
                           const EndpointDirectory::Incarnation &endpointIncarnation)
            : ClientConnection(context, replyLimits), incarnation(endpointIncarnation) {}
        const EndpointDirectory::Incarnation incarnation;
    };
    using Connection = std::shared_ptr<EndpointConnection>;
    using IdlePool = IdleConnections<EndpointConnection>;

    /// Reuses an idle connection or creates one. Null if the endpoint has no address or the limit
    /// is reached. Each connection, even a failed one, must be passed to releaseConnection() once.
    [[nodiscard]] Connection acquireConnection(const EndpointId &endpoint);
    void releaseConnection(const EndpointId &endpoint, const Connection &connection);
    [[nodiscard]] IdlePool::Decision reuseDecision(EndpointConnection &connection,
                                                   const EndpointDirectory::Incarnation &current,
                                                   TimePoint now) const;
    /// Closes the connection idle the longest while there are `limit` or more. False if all of the
    /// remaining ones are in use.
    bool reduceBelow(std::size_t limit);
    [[nodiscard]] std::size_t connectionLimit() const;
    [[nodiscard]] bool isCurrent(const EndpointId &endpoint, const Connection &connection) const;

    asio::io_context &context;
    const Clock &clock;
    const EndpointDirectory &directory;
    ResourceLimits limits;
    const simulator::DeploymentSettings &settings;
    IdlePool idle;
    std::size_t connectionsInUse = 0;
    std::function<std::size_t()> clientCount = [] { return std::size_t{0}; };
    CallbackGuard callbacks;
};

}  // namespace deckcart::platform
