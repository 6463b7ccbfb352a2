#include "pool.hpp"

namespace deckcart {

Pool::Pool(asio::io_context &ioContext, const GatewaySettings &gatewaySettings)
    : context(ioContext), settings(gatewaySettings) {}

std::shared_ptr<http::ClientConnection> Pool::take(const EndpointId &endpoint) {
    using Use = IdleConnections<http::ClientConnection>::Use;
    auto connection = idle.take(endpoint, [](const http::ClientConnection &kept) {
        return kept.reusable() ? Use::takes : Use::none;
    });
    if (!connection) {
        const auto taken = inUse.find(endpoint);
        if ((taken == inUse.end() ? 0 : taken->second) >= settings.upstream.connections)
            return nullptr;
        connection = std::make_shared<http::ClientConnection>(context, settings.listener.headBytes);
    }
    ++inUse[endpoint];
    return connection;
}

void Pool::give(const EndpointId &endpoint,
                const std::shared_ptr<http::ClientConnection> &connection, TimePoint now) {
    if (const auto taken = inUse.find(endpoint); --taken->second == 0)
        inUse.erase(taken);
    if (!connection->reusable())
        return connection->drop();
    idle.keep(endpoint, connection, now);
}

}  // namespace deckcart
