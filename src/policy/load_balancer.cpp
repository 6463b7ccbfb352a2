// Scores of endpoints by load, latency, weight and zone.
#include "load_balancer.hpp"

#include <algorithm>
#include <cmath>

#include "deployment_size.hpp"

namespace deckcart::policy {
namespace {

// Weight of the cross-zone cost in the score.
constexpr double kCrossZoneFactor = 4;

}  // namespace

bool LoadBalancer::queriesLoad() const {
    return settings.inFlightReportField >= 0 && hasManyGateways(settings);
}

void LoadBalancer::recordLoad(Endpoint &endpoint, const std::vector<double> &load,
                              TimePoint now) const {
    if (!queriesLoad() || std::size_t(settings.inFlightReportField) >= load.size())
        return;
    endpoint.reported = {load[std::size_t(settings.inFlightReportField)], now};
}

Endpoint *LoadBalancer::leastLoaded(const std::vector<Endpoint *> &endpoints,
                                    const RouteLatencies &latencies, TimePoint now) const {
    Endpoint *best = nullptr;
    for (Endpoint *endpoint : endpoints)
        if (!best || score(*endpoint, latencies, now) < score(*best, latencies, now))
            best = endpoint;
    return best;
}

double LoadBalancer::score(const Endpoint &endpoint, const RouteLatencies &latencies,
                           TimePoint now) const {
    const double zoneFactor =
        endpoint.entry.zone == settings.zone ? 1 : 1 + kCrossZoneFactor * settings.crossZoneCost;
    const double weight = endpoint.entry.weight > 0 ? endpoint.entry.weight : 1;
    const double reported =
        endpoint.reported.inFlight *
        std::exp(-toSeconds(now - endpoint.reported.at) / LatencyEstimate::kDecaySeconds);
    return (std::max(double(endpoint.inFlight.size()), reported) + 1) *
           endpoint.slowness(latencies, now) * zoneFactor /
           (weight * slowStart.warmUpFraction(endpoint.age(now)));
}

}  // namespace deckcart::policy
