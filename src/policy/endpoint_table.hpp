// The endpoints that a gateway knows: one record each, found by id, and the active ones by build.
// Records of endpoints that left the list stay until nothing refers to them.
#pragma once

#include <deckcart/policy.hpp>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "outlier_detector.hpp"
#include "random_source.hpp"
#include "route_latencies.hpp"
#include "slow_start.hpp"

namespace deckcart::policy {

struct InFlightAttempt {
    TimePoint sentAt{};
    RequestId requestId = 0;
    int route = 0;  // not part of the order

    bool operator<(const InFlightAttempt &other) const {
        return sentAt != other.sentAt ? sentAt < other.sentAt : requestId < other.requestId;
    }
};

struct ReportedLoad {
    double inFlight = 0;  // requests that the endpoint holds, of all gateways
    TimePoint at{};
};

struct Endpoint {
    EndpointEntry entry;
    std::set<InFlightAttempt> inFlight;  // oldest first
    EndpointHealth health;
    LatencyEstimate latency;
    SlowStartBudget slowStart;
    ReportedLoad reported;
    BuildNumber previousBuild = 0;  // the build that the id was listed with until then
    TimePoint buildChangedAt{};
    TimePoint leftAt{};
    int recentAnswers = 0;  // its answers that the fleet observer still counts

    bool listed() const { return entry.state == EndpointState::active; }
    /// Since its start; an hour where that was long ago.
    Duration age(TimePoint now) const {
        return entry.startedAt ? now - *entry.startedAt : Duration{std::chrono::hours{1}};
    }
    /// Latency over the usual one. The oldest attempt in flight tells of an endpoint that answers
    /// nothing before any time-out does.
    double slowness(const RouteLatencies &latencies, TimePoint now) const;
    /// The build that it ran at that time.
    BuildNumber buildAt(TimePoint when) const {
        return when < buildChangedAt ? previousBuild : entry.build;
    }
};

// By build; the load balancer permutes the endpoints of a build.
using EndpointsByBuild = std::map<BuildNumber, std::vector<Endpoint *>>;

class EndpointTable {
  public:
    Endpoint *find(const EndpointId &id);
    bool contains(const EndpointId &id) const { return endpoints.contains(id); }
    const std::map<EndpointId, Endpoint> &all() const { return endpoints; }
    EndpointsByBuild &active() { return byBuild; }
    const EndpointsByBuild &active() const { return byBuild; }

    /// A complete list is about to replace what is known.
    void markAllLeft(TimePoint now);
    /// Drops records of endpoints that left longer ago than `memory` unless they are referred to.
    void forgetLeft(Duration memory, TimePoint now,
                    const std::function<bool(const Endpoint &)> &referredTo);
    /// Takes up a list's entries; draws a rounding chance for each start or new build.
    void update(const std::vector<EndpointEntry> &entries, RandomSource &random, TimePoint now);
    /// Ejects an endpoint after an attempt without an answer, if it is time to.
    void recordUnanswered(Endpoint &endpoint, TimePoint now);

  private:
    std::map<EndpointId, Endpoint> endpoints;
    EndpointsByBuild byBuild;
};

}  // namespace deckcart::policy
