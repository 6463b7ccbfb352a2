// The platform's ways in and out of a gateway, and its settings: see gateway/transport.hpp.
#pragma once

#include "../gateway/gateway.hpp"
#include "control_plane.hpp"
#include "downstream.hpp"
#include "limits.hpp"
#include "upstream_pool.hpp"

namespace deckcart::platform {

class PlatformWays : public Ways {
  public:
    // `start` outlives the gateway.
    PlatformWays(asio::io_context &io, const Clock &time, const Start &with, const Bounds &most, Log to)
        : context(io), clock(time), start(with), bounds(most), log(std::move(to)) {}

    std::unique_ptr<Front> front(const GatewaySettings &settings, FrontOwner owner) const override;
    std::unique_ptr<Upstreams> upstreams(const GatewaySettings &settings) const override;
    std::unique_ptr<Desk> desk(const GatewaySettings &settings, DeskOwner owner) const override;

    // Of the gateway that was made with these.
    mutable PlatformDesk *desks = nullptr;
    mutable const RespUpstreams *calls = nullptr;
    mutable RespFront *fronts = nullptr;

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
