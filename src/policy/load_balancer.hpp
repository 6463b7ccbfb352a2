// The choice of an endpoint within a build: the less loaded of two random ones, zones and reported
// load considered.
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

    /// Exception where endpoints report their load to probes and gateways are many, so that own
    /// in-flight requests say nothing: the two choices are queried first. Covers uneven gateways,
    /// crowded endpoints. Harm: its price and delay.
    bool queriesLoad() const;
    void recordLoad(Endpoint &endpoint, const std::vector<double> &load, TimePoint now) const;

    /// Up to two random endpoints of these for which `eligible` holds, in the order drawn. Permutes
    /// the endpoints. Unless `anyZone`, most choices in other zones are passed over where that has
    /// a price.
    template <class Eligible>
    std::vector<Endpoint *> chooseTwo(std::vector<Endpoint *> &endpoints, RandomSource &random,
                                      bool anyZone, Eligible eligible) const {
        std::vector<Endpoint *> chosen;
        const std::size_t count = endpoints.size();
        for (std::size_t i = 0; i < count && chosen.size() < 2; ++i) {
            std::swap(endpoints[i], endpoints[i + random.below(count - i)]);
            Endpoint &endpoint = *endpoints[i];
            if (!anyZone && costsCrossing(endpoint) && random.chance() < kPassedOver)
                continue;
            if (eligible(endpoint))
                chosen.push_back(&endpoint);
        }
        return chosen;
    }
    /// The one with the lowest score; null if there is none.
    Endpoint *leastLoaded(const std::vector<Endpoint *> &endpoints, const RouteLatencies &latencies,
                          TimePoint now) const;
    /// (in-flight requests + 1) x decaying latency / (weight x warm-up fraction), more for other
    /// zones.
    double score(const Endpoint &endpoint, const RouteLatencies &latencies, TimePoint now) const;

  private:
    // Of other zones' choices: a gateway in one zone of three keeps over half of its requests.
    static constexpr double kPassedOver = 0.6;
    // A price on crossing zones keeps most choices at home where load is queried; the score does
    // the rest.
    bool costsCrossing(const Endpoint &endpoint) const {
        return settings.crossZoneCost > 0 && queriesLoad() && endpoint.entry.zone != settings.zone;
    }

    const PolicySettings &settings;
    const SlowStart &slowStart;
};

}  // namespace deckcart::policy
