#include "pool.hpp"

namespace deckcart {

Pool::Pool(asio::io_context &io, const GatewaySettings &with) : context(io), settings(with) {}

std::shared_ptr<http::ClientConnection> Pool::take(const EndpointId &endpoint) {
    using Use = IdleConnections<http::ClientConnection>::Use;
    auto one = idle.take(endpoint,
                         [](const auto &kept) { return kept.reusable() ? Use::takes : Use::none; });
    const auto at = busy.find(endpoint);
    if (!one && (at == busy.end() ? 0 : at->second) >= settings.upstream.connections)
        return nullptr;
    if (!one)
        one = std::make_shared<http::ClientConnection>(context, settings.listener.headBytes);
    ++busy[endpoint];
    return one;
}

void Pool::give(const EndpointId &endpoint,
                const std::shared_ptr<http::ClientConnection> &connection, Duration now) {
    if (const auto at = busy.find(endpoint); --at->second == 0)
        busy.erase(at);
    if (!connection->reusable())
        return connection->drop();
    idle.keep(endpoint, connection, now);
}

}  // namespace deckcart
