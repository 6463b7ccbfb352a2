#include "transport.hpp"

namespace deckcart::platform {

std::unique_ptr<Front> PlatformWays::front(const GatewaySettings &, FrontOwner owner) const {
    auto out = std::make_unique<RespFront>(context, clock, start.listen, doorLimits(bounds), start.settings,
                                           std::move(owner));
    fronts = out.get();
    return out;
}
std::unique_ptr<Upstreams> PlatformWays::upstreams(const GatewaySettings &) const {
    auto out = std::make_unique<RespUpstreams>(context, clock, directory, bounds, start.settings);
    calls = out.get();
    return out;
}
std::unique_ptr<Desk> PlatformWays::desk(const GatewaySettings &, DeskOwner owner) const {
    directory.note(start.known);
    auto out = std::make_unique<PlatformDesk>(context, directory, start.settings,
                                              PlatformDesk::At{start.discovery, start.control}, start.seed,
                                              log, start.known.generation, std::move(owner));
    desks = out.get();
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
    out.passedKept = 0;                                // the platform tells of no wrong answers by request
    return out;
}

}  // namespace deckcart::platform
