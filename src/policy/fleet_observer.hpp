// What the active endpoints amount to at the last count: capacity by build, how warm they are, how
// much each answers and how slow they are.
#pragma once

#include <deckcart/policy.hpp>
#include <deque>

#include "endpoint_table.hpp"

namespace deckcart::policy {

struct FleetSummary {
    double newestCapacity = 0;  // warm-up fractions that may be sent to, of the rollout's build
    double otherCapacity = 0;   // of all other builds
    double newestEndpoints = 0;
    double places = 0;  // endpoints that the rollout will replace or join
    TimePoint newestStart{};
    bool anyWarmingUp = false;
};

class FleetObserver {
  public:
    FleetObserver(const PolicySettings &policySettings, const SlowStart &slowStartRules)
        : settings(policySettings), slowStart(slowStartRules) {}

    /// An endpoint that is warm has answered.
    void recordAnswer(Endpoint &endpoint, TimePoint now);
    bool due(TimePoint now) const { return now >= dueAt; }
    /// Counts the endpoints anew; `newest` is the build of the rollout.
    void count(EndpointTable &table, const RouteLatencies &latencies, BuildNumber newest,
               TimePoint now);

    const FleetSummary &summary() const { return current; }
    /// Answers that a warm endpoint has given to this gateway within the overload window.
    double answersPerEndpoint() const { return perEndpoint; }
    /// The median endpoint's slowness, 1 at least.
    double typicalSlowness() const { return medianSlowness; }

  private:
    void add(Endpoint &endpoint, bool isNewest, TimePoint now);

    struct Answer {
        TimePoint at{};
        Endpoint *endpoint = nullptr;
    };
    const PolicySettings &settings;
    const SlowStart &slowStart;
    FleetSummary current;
    TimePoint dueAt{};
    std::deque<Answer> answers;
    double perEndpoint = 0;
    double medianSlowness = 1;
};

}  // namespace deckcart::policy
