#include "pool.hpp"

namespace deckcart {

HttpConnectionPool::HttpConnectionPool(asio::io_context &ioContext,
                                       const GatewaySettings &gatewaySettings)
    : context(ioContext), settings(gatewaySettings) {}

std::shared_ptr<http::ClientConnection> HttpConnectionPool::take(const EndpointId &endpoint) {
    using Decision = IdleConnections<http::ClientConnection>::Decision;
    auto connection = idle.take(endpoint, [](const http::ClientConnection &kept) {
        return kept.reusable() ? Decision::take : Decision::drop;
    });
    if (!connection) {
        const auto found = inUse.find(endpoint);
        if ((found == inUse.end() ? 0 : found->second) >=
            settings.upstream.maxConnectionsPerEndpoint)
            return nullptr;
        connection = std::make_shared<http::ClientConnection>(context, settings.listener.headBytes);
    }
    ++inUse[endpoint];
    return connection;
}

void HttpConnectionPool::giveBack(const EndpointId &endpoint,
                                  const std::shared_ptr<http::ClientConnection> &connection,
                                  TimePoint now) {
    if (const auto found = inUse.find(endpoint); --found->second == 0)
        inUse.erase(found);
    if (!connection->reusable())
        return connection->drop();
    idle.keep(endpoint, connection, now);
}

}  // namespace deckcart
