#include "transport.hpp"

namespace deckcart::platform {

PlatformTransport::PlatformTransport(asio::io_context &ioContext, const Clock &gatewayClock,
                                     const PlatformConfiguration &platformConfiguration,
                                     const ResourceLimits &resourceLimits, Log gatewayLog)
    : context(ioContext), clock(gatewayClock), configuration(platformConfiguration),
      limits(resourceLimits), log(std::move(gatewayLog)) {}

std::unique_ptr<Downstream> PlatformTransport::downstream(const GatewaySettings &,
                                                          DownstreamHandler handler) const {
    auto created = std::make_unique<RespDownstream>(context, clock, configuration.listen, limits,
                                                    configuration.settings, std::move(handler));
    respDownstream = created.get();
    // The gateway destroys the downstream before the pool.
    created->borrowSockets([pool = upstreamPool] { return pool->lendSocket(); });
    upstreamPool->observeClients([clients = respDownstream] { return clients->connections(); });
    return created;
}

std::unique_ptr<UpstreamPool> PlatformTransport::upstreams(const GatewaySettings &) const {
    auto created = std::make_unique<RespUpstreamPool>(context, clock, directory, limits,
                                                      configuration.settings);
    upstreamPool = created.get();
    return created;
}

std::unique_ptr<ControlPlaneClient>
PlatformTransport::controlPlane(const GatewaySettings &, ControlPlaneObserver observer) const {
    directory.apply(configuration.knownEndpoints);
    const PlatformAddresses addresses{configuration.discovery, configuration.control};
    auto created = std::make_unique<PlatformControlPlaneClient>(
        context, directory, configuration.settings, addresses, configuration.seed, log,
        configuration.knownEndpoints.generation, std::move(observer));
    controlPlaneClient = created.get();
    return created;
}

GatewaySettings toGatewaySettings(const PlatformConfiguration &configuration,
                                  const ResourceLimits &limits) {
    const simulator::DeploymentSettings &deployment = configuration.settings;
    GatewaySettings settings;
    settings.id = configuration.name;
    settings.policy = deployment.policy;
    settings.tenants = deployment.tenants;
    settings.zones = deployment.zones;
    settings.policy.maxSendDelay = deployment.connectTimeout;
    for (std::size_t route = 0; route < deployment.routes.size(); ++route)
        settings.routes.push_back(
            {deployment.routes[route], "", "", deployment.routeTimeouts[route]});
    settings.maxRequestsInFlight = limits.maxRequestsInFlight;
    settings.upstream.bufferedResponseBytes = limits.valueBytes;  // responses are not streamed
    // The platform does not report incorrect responses by request.
    settings.responseHistorySize = 0;
    return settings;
}

}  // namespace deckcart::platform
