// Calls to endpoints over RESP2, one request at a time on a connection, within one bound for all
// endpoints together; implements UpstreamPool of gateway/transport.hpp. Made by PlatformTransport.
// Which endpoint to call is the decision module's business.
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

/// One thread, that of its io_context. Calls and probes may outlive it; they are dropped then.
class RespUpstreamPool : public UpstreamPool {
  public:
    /// @param clock,directory,settings  outlive this
    RespUpstreamPool(asio::io_context &context, const Clock &clock,
                     const EndpointDirectory &directory, const ResourceLimits &limits,
                     const simulator::DeploymentSettings &settings);

    std::shared_ptr<UpstreamCall> take(const EndpointId &endpoint) override;
    void closeIdle(const EndpointId &endpoint) override { idle.close(endpoint); }
    void sweep(Duration now) override { idle.sweep(now, limits.upstreamIdleTimeout); }
    Duration sweepEvery() const override { return limits.idleSweepInterval; }
    void probe(const EndpointId &endpoint, ProbeCallback done) override;
    /// In use and idle.
    [[nodiscard]] std::size_t connections() const { return connectionsInUse + idle.size(); }

  private:
    class RespCall;

    struct EndpointConnection : resp::ClientConnection {
        EndpointConnection(asio::io_context &context, resp::Limits replyLimits,
                           const EndpointDirectory::Incarnation &madeFor)
            : ClientConnection(context, replyLimits), incarnation(madeFor) {}
        const EndpointDirectory::Incarnation incarnation;
    };
    using Connection = std::shared_ptr<EndpointConnection>;
    using IdlePool = IdleConnections<EndpointConnection>;

    /// Empty where the endpoint has no address, or the bound is reached. Each connection is to be
    /// given back once by returnConnection(), whatever became of it.
    [[nodiscard]] Connection takeConnection(const EndpointId &endpoint);
    void returnConnection(const EndpointId &endpoint, const Connection &connection);
    [[nodiscard]] IdlePool::Use useOf(EndpointConnection &connection,
                                      const EndpointDirectory::Incarnation &present,
                                      TimePoint now) const;
    [[nodiscard]] bool isPresent(const EndpointId &endpoint, const Connection &connection) const;

    asio::io_context &context;
    const Clock &clock;
    const EndpointDirectory &directory;
    ResourceLimits limits;
    const simulator::DeploymentSettings &settings;
    IdlePool idle;
    std::size_t connectionsInUse = 0;
    CallbackGuard callbacks;
};

}  // namespace deckcart::platform
