#include "transport.hpp"

namespace deckcart::platform {

std::unique_ptr<Front> PlatformWays::front(const GatewayOrders &, FrontOwner owner) const {
    auto out = std::make_unique<RespFront>(context, clock, start.listen, doorLimits(bounds), start.settings,
                                           std::move(owner));
    fronts = out.get();
    return out;
}
std::unique_ptr<Upstreams> PlatformWays::upstreams(const GatewayOrders &) const {
    auto out = std::make_unique<RespUpstreams>(context, clock, directory, bounds, start.settings);
    calls = out.get();
    return out;
}
std::unique_ptr<Desk> PlatformWays::desk(const GatewayOrders &, DeskOwner owner) const {
    directory.note(start.known);
    auto out = std::make_unique<PlatformDesk>(context, directory, start.settings,
                                              PlatformDesk::At{start.discovery, start.control}, start.seed,
                                              log, start.known.generation, std::move(owner));
    desks = out.get();
    return out;
}

GatewayOrders ordersOf(const Start &start, const Bounds &bounds) {
    GatewayOrders out;
    const auto &s = start.settings;
    out.id = start.name, out.module = s.start, out.accounts = s.accounts, out.zones = s.zones;
    out.module.sendsWithin = s.connectWithin;
    for (std::size_t k = 0; k < s.routes.size(); ++k)
        out.routes.push_back({s.routes[k], "", "", s.routeTimeouts[k]});
    out.maxRequestsInFlight = bounds.maxRequestsInFlight;
    out.upstream.heldAnswerBytes = bounds.valueBytes;  // passed on whole
    out.passedKept = 0;                                // the platform tells of no wrong answers by request
    return out;
}

}  // namespace deckcart::platform
