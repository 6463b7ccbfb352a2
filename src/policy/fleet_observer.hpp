// Summary of the active endpoints at the last count: capacity by build, warm-up, responses per
// endpoint and latency.
#pragma once

#include <deckcart/policy.hpp>
#include <deque>

#include "endpoint_table.hpp"

namespace deckcart::policy {

/// Counts of the active endpoints, by whether they run the build of the rollout.
struct FleetSummary {
    /// Sum of the warm-up fractions of endpoints that may be sent requests, of the rollout's build.
    double rolloutCapacity = 0;
    /// Same, of all other builds.
    double otherCapacity = 0;
    double rolloutEndpoints = 0;
    /// Number of endpoints of the finished rollout: all if they are replaced in place, otherwise
    /// one per endpoint of another build.
    double targetEndpoints = 0;
    /// Latest known start of an endpoint of the rollout's build.
    TimePoint latestRolloutStart{};
    bool anyWarmingUp = false;
};

class FleetObserver {
  public:
    FleetObserver(const PolicySettings &policySettings, const SlowStart &slowStartRules)
        : settings(policySettings), slowStart(slowStartRules) {}

    /// Records a response to an attempt that was sent when the endpoint had reached the evidence
    /// age.
    void recordAnswer(Endpoint &endpoint, TimePoint now);
    /// Whether the next count is due.
    bool due(TimePoint now) const { return now >= dueAt; }
    /// Counts the endpoints again; `rolloutBuild` is the build of the rollout.
    void count(EndpointTable &table, const RouteLatencies &latencies, BuildNumber rolloutBuild,
               TimePoint now);

    const FleetSummary &summary() const { return current; }
    /// Mean number of such responses that an endpoint has given to this gateway within the overload
    /// window.
    double answersPerEndpoint() const { return meanAnswers; }
    /// The median over endpoints of the latency as a multiple of the usual; at least 1.
    double typicalSlowness() const { return medianSlowness; }

  private:
    void add(Endpoint &endpoint, bool ofRolloutBuild, TimePoint now);

    struct Answer {
        TimePoint at{};
        Endpoint *endpoint = nullptr;
    };
    const PolicySettings &settings;
    const SlowStart &slowStart;
    FleetSummary current;
    TimePoint dueAt{};
    std::deque<Answer> answers;
    double meanAnswers = 0;
    double medianSlowness = 1;
};

}  // namespace deckcart::policy
