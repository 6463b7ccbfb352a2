// The usual time of an answer by route, learnt from the baseline build under full load.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deckcart/policy.hpp>
#include <vector>

#include "time_window.hpp"

namespace deckcart::policy {

class RouteLatencies {
  public:
    /// Starts with a quarter of each route's objective.
    explicit RouteLatencies(const std::vector<Route> &routes) {
        for (const Route &route : routes)
            estimates.push_back({toSeconds(route.latencyObjective) / 4, 0});
    }
    /// The usual latency in seconds.
    double usual(int route) const { return estimates[std::size_t(route)].seconds; }
    void learn(int route, double seconds) {
        Estimate &estimate = estimates[std::size_t(route)];
        const double gain = std::max(kLeastGain, 1.0 / (1 + estimate.samples));
        estimate.samples += 1;
        estimate.seconds += gain * (seconds - estimate.seconds);
    }
    /// The least usual latency of all routes, in seconds.
    double fastest() const {
        return std::ranges::min_element(estimates, {}, &Estimate::seconds)->seconds;
    }

  private:
    // Of a new answer, once there are many: the figure follows slow changes only.
    static constexpr double kLeastGain = 0.01;
    struct Estimate {
        double seconds = 0;
        int samples = 0;
    };
    std::vector<Estimate> estimates;
};

}  // namespace deckcart::policy
