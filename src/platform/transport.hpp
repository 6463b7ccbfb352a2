// The platform's ways in and out of a gateway, and its settings: see gateway/transport.hpp.
#pragma once

#include "../gateway/gateway.hpp"
#include "control_plane.hpp"
#include "downstream.hpp"
#include "limits.hpp"
#include "upstream_pool.hpp"

namespace deckcart::platform {

class PlatformTransport : public Transport {
  public:
    // `start` outlives the gateway.
    PlatformTransport(asio::io_context &io, const Clock &time, const Start &with,
                      const Bounds &most, Log to)
        : context(io), clock(time), start(with), bounds(most), log(std::move(to)) {}

    std::unique_ptr<Downstream> downstream(const GatewaySettings &settings,
                                           DownstreamHandler owner) const override;
    std::unique_ptr<UpstreamPool> upstreams(const GatewaySettings &settings) const override;
    std::unique_ptr<ControlPlaneClient> controlPlane(const GatewaySettings &settings,
                                                     ControlPlaneObserver owner) const override;

    // Of the gateway that was made with these.
    mutable PlatformControlPlaneClient *controlPlaneClient = nullptr;
    mutable const RespUpstreamPool *upstreamPool = nullptr;
    mutable RespDownstream *respDownstream = nullptr;

  private:
    asio::io_context &context;
    const Clock &clock;
    const Start &start;
    Bounds bounds;
    Log log;
    mutable Directory directory;
};

GatewaySettings gatewaySettingsOf(const Start &start, const Bounds &bounds);

}  // namespace deckcart::platform
