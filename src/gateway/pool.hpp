// Connection pool for HTTP endpoints: limits the connections in use per endpoint and keeps idle
// connections for a configured time. The caller chooses the endpoint.
#pragma once

#include <asio/io_context.hpp>
#include <map>
#include <memory>

#include "../http/client.hpp"
#include "../settings/gateway_settings.hpp"
#include "idle_connections.hpp"

namespace deckcart {

class HttpConnectionPool {
  public:
    /// Both must outlive the pool. The limits are read from the settings at each use.
    HttpConnectionPool(asio::io_context &context, const GatewaySettings &settings);

    /// Returns an idle connection, or a new one that is not connected yet. Null if the limit on
    /// connections in use is reached.
    [[nodiscard]] std::shared_ptr<http::ClientConnection> take(const EndpointId &endpoint);
    /// Returns a connection to the pool. To be called exactly once for each connection taken,
    /// whether its call has succeeded or failed.
    void giveBack(const EndpointId &endpoint,
                  const std::shared_ptr<http::ClientConnection> &connection, TimePoint now);
    void closeIdle(const EndpointId &endpoint) { idle.close(endpoint); }
    /// Closes connections that have been idle for too long.
    void sweep(TimePoint now) { idle.sweep(now, settings.upstream.idleTimeout); }

  private:
    asio::io_context &context;
    const GatewaySettings &settings;
    IdleConnections<http::ClientConnection> idle;
    std::map<EndpointId, std::size_t> inUse;  // connections in use, by endpoint
};

}  // namespace deckcart
