// Choice of an endpoint within a build: the less loaded of two random ones, with regard to zones
// and reported load.
#pragma once

#include <deckcart/policy.hpp>
#include <utility>
#include <vector>

#include "endpoint_table.hpp"

namespace deckcart::policy {

class LoadBalancer {
  public:
    LoadBalancer(const PolicySettings &policySettings, const SlowStart &slowStartRules)
        : settings(policySettings), slowStart(slowStartRules) {}

    /// Whether the load of both choices is queried before an attempt. Done where endpoints report
    /// their load to probes and gateways are so many that a gateway's own attempts in flight say
    /// little about the load. Covers unequal gateways and overloaded endpoints. Drawback: the cost
    /// and delay of the probes.
    bool queriesLoad() const;
    /// Records the load that a probe reported; an empty report is ignored.
    void recordLoad(Endpoint &endpoint, const std::vector<double> &load, TimePoint now) const;

    /// Returns up to two random endpoints for which `eligible` returns true, in the order drawn.
    /// Permutes `endpoints`. Unless `anyZone`, most endpoints of other zones are skipped where
    /// crossing zones has a cost.
    template <class Eligible>
    std::vector<Endpoint *> chooseTwo(std::vector<Endpoint *> &endpoints, RandomSource &random,
                                      bool anyZone, Eligible eligible) const {
        std::vector<Endpoint *> chosen;
        const std::size_t count = endpoints.size();
        for (std::size_t i = 0; i < count && chosen.size() < 2; ++i) {
            std::swap(endpoints[i], endpoints[i + random.below(count - i)]);
            Endpoint &endpoint = *endpoints[i];
            if (!anyZone && crossesZoneAtCost(endpoint) &&
                random.chance() < kCrossZoneSkipProbability)
                continue;
            if (eligible(endpoint))
                chosen.push_back(&endpoint);
        }
        return chosen;
    }
    /// The endpoint with the lowest score; null if there is none.
    Endpoint *leastLoaded(const std::vector<Endpoint *> &endpoints, const RouteLatencies &latencies,
                          TimePoint now) const;
    /// (in-flight requests + 1) x latency estimate / (weight x warm-up fraction), higher for other
    /// zones.
    double score(const Endpoint &endpoint, const RouteLatencies &latencies, TimePoint now) const;

  private:
    // Probability of skipping an endpoint of another zone: with three zones, over half of the
    // requests stay in their own.
    static constexpr double kCrossZoneSkipProbability = 0.6;
    // Where load is queried, a cost of crossing zones keeps most choices in the own zone. The score
    // always includes the cost.
    bool crossesZoneAtCost(const Endpoint &endpoint) const {
        return settings.crossZoneCost > 0 && queriesLoad() && endpoint.entry.zone != settings.zone;
    }

    const PolicySettings &settings;
    const SlowStart &slowStart;
};

}  // namespace deckcart::policy
