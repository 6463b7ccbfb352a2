// The platform's protocol for a gateway: RESP2 to clients and endpoints, its discovery and control
// service; implements Transport of gateway/transport.hpp. Made by the process.
#pragma once

#include "../gateway/gateway.hpp"
#include "configuration.hpp"
#include "downstream.hpp"
#include "platform_control_plane.hpp"
#include "resource_limits.hpp"
#include "upstream_pool.hpp"

namespace deckcart::platform {

/// Makes the parts for one gateway, and keeps where they are for the process around it.
class PlatformTransport : public Transport {
  public:
    /// @param clock,configuration  outlive the gateway, and so does this transport: the endpoint
    ///   directory is its own
    PlatformTransport(asio::io_context &context, const Clock &clock,
                      const PlatformConfiguration &configuration, const ResourceLimits &limits,
                      Log log);

    std::unique_ptr<Downstream> downstream(const GatewaySettings &settings,
                                           DownstreamHandler handler) const override;
    std::unique_ptr<UpstreamPool> upstreams(const GatewaySettings &settings) const override;
    std::unique_ptr<ControlPlaneClient> controlPlane(const GatewaySettings &settings,
                                                     ControlPlaneObserver observer) const override;

    // Owned by the gateway that was made with these; null before.
    mutable PlatformControlPlaneClient *controlPlaneClient = nullptr;
    mutable const RespUpstreamPool *upstreamPool = nullptr;
    mutable RespDownstream *respDownstream = nullptr;

  private:
    asio::io_context &context;
    const Clock &clock;
    const PlatformConfiguration &configuration;
    ResourceLimits limits;
    Log log;
    mutable EndpointDirectory directory;
};

/// The gateway's settings that follow from the platform's configuration.
GatewaySettings toGatewaySettings(const PlatformConfiguration &configuration,
                                  const ResourceLimits &limits);

}  // namespace deckcart::platform
