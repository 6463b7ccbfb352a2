// Connections to instances: bounded for each, kept while idle for a stated time, closed when told
// so. Whom to send to is not decided here.
#pragma once

#include "../http/client.hpp"
#include "../settings/gateway_settings.hpp"
#include "idle_connections.hpp"

namespace deckcart {

class Pool {
  public:
    Pool(asio::io_context &context, const GatewaySettings &settings);

    // An idle connection, else a new one; empty when the bound is reached.
    std::shared_ptr<http::ClientConnection> take(const EndpointId &endpoint);
    // Every connection taken is given back once, whatever became of it.
    void give(const EndpointId &endpoint, const std::shared_ptr<http::ClientConnection> &connection,
              Duration now);
    void closeIdle(const EndpointId &endpoint) { idle.close(endpoint); }
    void sweep(Duration now) {
        idle.sweep(now, settings.upstream.idleFor);
    }  // ends those idle for too long

  private:
    asio::io_context &context;
    const GatewaySettings &settings;
    IdleConnections<http::ClientConnection> idle;
    std::map<EndpointId, std::size_t> busy;
};

}  // namespace deckcart
