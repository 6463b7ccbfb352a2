// Connections to instances: bounded for each, kept while idle for a stated time, closed when told so. Whom to
// send to is not decided here.
#pragma once

#include <map>
#include <optional>

#include "../http/client.hpp"
#include "../settings/orders.hpp"

namespace deckcart {

class Pool {
  public:
    Pool(asio::io_context &context, const GatewayOrders &orders);
    ~Pool();

    // An idle connection, else a new one; empty when the bound is reached.
    std::shared_ptr<http::ClientConnection> take(const ServerId &server);
    // Every connection taken is given back once, whatever became of it.
    void give(const ServerId &server, const std::shared_ptr<http::ClientConnection> &connection, Span now);
    void closeIdle(const ServerId &server);
    void sweep(Span now);  // ends those that were idle for too long

  private:
    struct Place {
        std::vector<std::shared_ptr<http::ClientConnection>> idle;  // the latest used last
        std::size_t busy = 0;
    };
    asio::io_context &context;
    const GatewayOrders &orders;
    std::map<ServerId, Place> places;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace deckcart
