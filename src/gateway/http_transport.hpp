// HTTP/1.1 on both sides of a gateway, and the desk's documents: see ways.hpp.
#pragma once

#include <asio.hpp>

#include "transport.hpp"

namespace deckcart {

class HttpWays : public Ways {
  public:
    HttpWays(asio::io_context &io, const asio::ip::tcp::endpoint &at) : context(io), listen(at) {}
    std::unique_ptr<Front> front(const GatewaySettings &settings, FrontOwner owner) const override;
    std::unique_ptr<Upstreams> upstreams(const GatewaySettings &settings) const override;
    std::unique_ptr<Desk> desk(const GatewaySettings &settings, DeskOwner owner) const override;

  private:
    asio::io_context &context;
    asio::ip::tcp::endpoint listen;
};

}  // namespace deckcart
