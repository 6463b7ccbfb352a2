// The platform's protocols for a gateway: RESP2 to clients and endpoints, HTTP to the discovery and
// control services; implements Transport of gateway/transport.hpp. Created by the service.
#pragma once

#include "../gateway/gateway.hpp"
#include "configuration.hpp"
#include "downstream.hpp"
#include "platform_control_plane.hpp"
#include "resource_limits.hpp"
#include "upstream_pool.hpp"

namespace deckcart::platform {

/// Creates the parts for one gateway and gives the service access to them.
class PlatformTransport : public Transport {
  public:
    /// @param clock,configuration  must outlive the gateway; so must this transport, since it owns
    ///   the endpoint directory
    PlatformTransport(asio::io_context &context, const Clock &clock,
                      const PlatformConfiguration &configuration, const ResourceLimits &limits,
                      Log log);

    std::unique_ptr<Downstream> downstream(const GatewaySettings &settings,
                                           DownstreamHandler handler) const override;
    std::unique_ptr<UpstreamPool> upstreams(const GatewaySettings &settings) const override;
    std::unique_ptr<ControlPlaneClient> controlPlane(const GatewaySettings &settings,
                                                     ControlPlaneObserver observer) const override;

    // Owned by the gateway that was created with this transport; null before.
    mutable PlatformControlPlaneClient *controlPlaneClient = nullptr;
    mutable RespUpstreamPool *upstreamPool = nullptr;
    mutable RespDownstream *respDownstream = nullptr;

  private:
    asio::io_context &context;
    const Clock &clock;
    const PlatformConfiguration &configuration;
    ResourceLimits limits;
    Log log;
    mutable EndpointDirectory directory;
};

/// Derives the gateway's settings from the platform's configuration.
GatewaySettings toGatewaySettings(const PlatformConfiguration &configuration,
                                  const ResourceLimits &limits);

}  // namespace deckcart::platform
