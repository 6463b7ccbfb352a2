#include "transport.hpp"

namespace deckcart::platform {

std::unique_ptr<Downstream> PlatformTransport::downstream(const GatewaySettings &,
                                                          DownstreamHandler owner) const {
    auto out = std::make_unique<RespDownstream>(
        context, clock, start.listen, listenerLimits(bounds), start.settings, std::move(owner));
    respDownstream = out.get();
    return out;
}
std::unique_ptr<UpstreamPool> PlatformTransport::upstreams(const GatewaySettings &) const {
    auto out =
        std::make_unique<RespUpstreamPool>(context, clock, directory, bounds, start.settings);
    upstreamPool = out.get();
    return out;
}
std::unique_ptr<ControlPlaneClient>
PlatformTransport::controlPlane(const GatewaySettings &, ControlPlaneObserver owner) const {
    directory.note(start.known);
    auto out = std::make_unique<PlatformControlPlaneClient>(
        context, directory, start.settings,
        PlatformControlPlaneClient::At{start.discovery, start.control}, start.seed, log,
        start.known.generation, std::move(owner));
    controlPlaneClient = out.get();
    return out;
}

GatewaySettings gatewaySettingsOf(const Start &start, const Bounds &bounds) {
    GatewaySettings out;
    const auto &s = start.settings;
    out.id = start.name, out.module = s.start, out.tenants = s.tenants, out.zones = s.zones;
    out.module.maxSendDelay = s.connectWithin;
    for (std::size_t k = 0; k < s.routes.size(); ++k)
        out.routes.push_back({s.routes[k], "", "", s.routeTimeouts[k]});
    out.maxRequestsInFlight = bounds.maxRequestsInFlight;
    out.upstream.heldAnswerBytes = bounds.valueBytes;  // passed on whole
    out.passedKept = 0;  // the platform tells of no wrong answers by request
    return out;
}

}  // namespace deckcart::platform
