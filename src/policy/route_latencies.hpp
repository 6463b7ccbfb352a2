// Usual latency by route, learnt from the baseline while it serves most requests.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deckcart/policy.hpp>
#include <vector>

#include "time_window.hpp"

namespace deckcart::policy {

class RouteLatencies {
  public:
    /// Starts with a quarter of each route's latency objective.
    explicit RouteLatencies(const std::vector<Route> &routes) {
        for (const Route &route : routes)
            estimates.push_back({toSeconds(route.latencyObjective) / 4, 0});
    }
    /// The usual latency in seconds.
    double usual(int route) const { return estimates[std::size_t(route)].seconds; }
    /// Adds the latency of a response.
    void learn(int route, double seconds) {
        Estimate &estimate = estimates[std::size_t(route)];
        const double gain = std::max(kMinGain, 1.0 / (1 + estimate.samples));
        estimate.samples += 1;
        estimate.seconds += gain * (seconds - estimate.seconds);
    }
    /// The lowest usual latency of all routes, in seconds.
    double fastest() const {
        return std::ranges::min_element(estimates, {}, &Estimate::seconds)->seconds;
    }

  private:
    // Minimum weight of a new sample, once there are many: the estimate follows slow changes only.
    static constexpr double kMinGain = 0.01;
    struct Estimate {
        double seconds = 0;
        int samples = 0;
    };
    std::vector<Estimate> estimates;
};

}  // namespace deckcart::policy
