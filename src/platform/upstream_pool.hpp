// Calls to instances over RESP2, one request at a time on a connection, within bounds for all of
// them together. Whom to call is not decided here.
#pragma once

#include "../base/clock.hpp"
#include "../gateway/idle_connections.hpp"
#include "../gateway/transport.hpp"
#include "../resp/client.hpp"
#include "directory.hpp"
#include "limits.hpp"

namespace deckcart::platform {

class RespCall;

class RespUpstreamPool : public UpstreamPool {
  public:
    RespUpstreamPool(asio::io_context &context, const Clock &clock, const Directory &directory,
                     const Bounds &bounds, const simulator::DeploymentSettings &settings);

    std::shared_ptr<UpstreamCall> take(const EndpointId &endpoint) override;
    void closeIdle(const EndpointId &endpoint) override { idle.close(endpoint); }
    void sweep(Duration now) override { idle.sweep(now, bounds.idleFor); }
    Duration sweepEvery() const override { return bounds.sweepEvery; }
    void probe(const EndpointId &endpoint, ProbeCallback done) override;
    std::size_t connections() const { return busy + idle.size(); }

  private:
    friend class RespCall;
    struct Placed : resp::ClientConnection {
        Placed(asio::io_context &io, resp::Limits limits, const Directory::Place &at)
            : ClientConnection(io, limits), place(at) {}
        const Directory::Place place;
    };
    using Connection = std::shared_ptr<Placed>;
    Connection
    connect(const EndpointId &endpoint);  // empty: it has no place, or a bound is reached
    // Every connection taken is given back once, whatever became of it.
    void give(const EndpointId &endpoint, const Connection &connection);

    asio::io_context &context;
    const Clock &clock;
    const Directory &directory;
    Bounds bounds;
    const simulator::DeploymentSettings &settings;
    IdleConnections<Placed> idle;
    std::size_t busy = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace deckcart::platform
