// HTTP/1.1 on both sides of a gateway, and the control plane's documents: see ways.hpp.
#pragma once

#include <asio.hpp>

#include "transport.hpp"

namespace deckcart {

class HttpTransport : public Transport {
  public:
    HttpTransport(asio::io_context &io, const asio::ip::tcp::endpoint &at)
        : context(io), listen(at) {}
    std::unique_ptr<Downstream> downstream(const GatewaySettings &settings,
                                           DownstreamHandler owner) const override;
    std::unique_ptr<UpstreamPool> upstreams(const GatewaySettings &settings) const override;
    std::unique_ptr<ControlPlaneClient> controlPlane(const GatewaySettings &settings,
                                                     ControlPlaneObserver owner) const override;

  private:
    asio::io_context &context;
    asio::ip::tcp::endpoint listen;
};

}  // namespace deckcart
