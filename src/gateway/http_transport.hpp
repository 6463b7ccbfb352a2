// HTTP/1.1 on both sides of a gateway, and the control plane client for HTTP: see transport.hpp.
#pragma once

#include <asio.hpp>

#include "transport.hpp"

namespace deckcart {

class HttpTransport : public Transport {
  public:
    /// The context must outlive all parts created by this object.
    HttpTransport(asio::io_context &ioContext, const asio::ip::tcp::endpoint &listenAddress)
        : context(ioContext), listen(listenAddress) {}
    std::unique_ptr<Downstream> downstream(const GatewaySettings &settings,
                                           DownstreamHandler handler) const override;
    std::unique_ptr<UpstreamPool> upstreams(const GatewaySettings &settings) const override;
    std::unique_ptr<ControlPlaneClient> controlPlane(const GatewaySettings &settings,
                                                     ControlPlaneObserver observer) const override;

  private:
    asio::io_context &context;
    asio::ip::tcp::endpoint listen;
};

}  // namespace deckcart
