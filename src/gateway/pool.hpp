// HTTP connections to endpoints: bounded for each, kept while idle for a stated time, closed when
// told so. Which endpoint to send to is not decided here.
#pragma once

#include <asio/io_context.hpp>
#include <map>
#include <memory>

#include "../http/client.hpp"
#include "../settings/gateway_settings.hpp"
#include "idle_connections.hpp"

namespace deckcart {

class Pool {
  public:
    /// Both must outlive the pool. The settings' bounds are read at each use.
    Pool(asio::io_context &context, const GatewaySettings &settings);

    /// An idle connection, else a new one that is not connected yet. Null when the bound on
    /// connections in use is reached.
    [[nodiscard]] std::shared_ptr<http::ClientConnection> take(const EndpointId &endpoint);
    /// Every connection taken is given back once, whatever became of it.
    void give(const EndpointId &endpoint, const std::shared_ptr<http::ClientConnection> &connection,
              TimePoint now);
    void closeIdle(const EndpointId &endpoint) { idle.close(endpoint); }
    /// Ends the connections that have been idle for too long.
    void sweep(TimePoint now) { idle.sweep(now, settings.upstream.idleFor); }

  private:
    asio::io_context &context;
    const GatewaySettings &settings;
    IdleConnections<http::ClientConnection> idle;
    std::map<EndpointId, std::size_t> inUse;  // connections taken, by endpoint
};

}  // namespace deckcart
