#include "pool.hpp"

#include <algorithm>

namespace deckcart {

Pool::Pool(asio::io_context &io, const GatewayOrders &with) : context(io), orders(with) {}

Pool::~Pool() {
    for (auto &[server, place] : places)
        for (const auto &one : place.idle) one->onIdleClosed = nullptr, one->drop();
}

std::shared_ptr<http::ClientConnection> Pool::take(const ServerId &server) {
    Place &place = places[server];
    while (!place.idle.empty()) {  // the one used last: the others may end by their idle time
        const auto one = place.idle.back();
        place.idle.pop_back();
        one->onIdleClosed = nullptr;
        if (!one->reusable()) continue;
        ++place.busy;
        return one;
    }
    if (place.busy >= orders.upstream.connections) return nullptr;
    ++place.busy;
    return std::make_shared<http::ClientConnection>(context, orders.door.headBytes);
}

void Pool::give(const ServerId &server, const std::shared_ptr<http::ClientConnection> &connection, Span now) {
    Place &place = places[server];
    --place.busy;
    if (!connection->reusable()) return connection->drop();
    connection->idleSince = now;
    connection->onIdleClosed = [this, server, weak = std::weak_ptr(connection), here = std::weak_ptr(alive)] {
        if (here.expired()) return;
        if (const auto one = weak.lock()) std::erase(places[server].idle, one);
    };
    place.idle.push_back(connection);
}

void Pool::closeIdle(const ServerId &server) {
    const auto it = places.find(server);
    if (it == places.end()) return;
    for (const auto &one : std::exchange(it->second.idle, {})) one->onIdleClosed = nullptr, one->drop();
    if (it->second.busy == 0) places.erase(it);
}

void Pool::sweep(Span now) {
    for (auto it = places.begin(); it != places.end();) {
        auto &idle = it->second.idle;
        const auto keep = std::ranges::find_if(
            idle, [&](const auto &one) { return now - one->idleSince < orders.upstream.idleFor; });
        for (auto old = idle.begin(); old != keep; ++old) (*old)->onIdleClosed = nullptr, (*old)->drop();
        idle.erase(idle.begin(), keep);
        it = idle.empty() && it->second.busy == 0 ? places.erase(it) : std::next(it);
    }
}

}  // namespace deckcart
