// The endpoints known to a gateway: one record each, found by id, and the active ones by build.
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

/// An attempt in flight at an endpoint, ordered by time and request.
struct InFlightAttempt {
    TimePoint sentAt{};
    RequestId requestId = 0;
    int route = 0;  ///< not part of the order

    bool operator<(const InFlightAttempt &other) const {
        return sentAt != other.sentAt ? sentAt < other.sentAt : requestId < other.requestId;
    }
};

/// The load that an endpoint reported to a probe.
struct ReportedLoad {
    double inFlight = 0;  ///< requests in flight at the endpoint, of all gateways
    TimePoint at{};
};

/// What a gateway knows of an endpoint.
struct Endpoint {
    EndpointEntry entry;
    std::set<InFlightAttempt> inFlight;  ///< in order of time, oldest first
    EndpointHealth health;
    LatencyEstimate latency;
    SlowStartBudget slowStart;
    ReportedLoad reported;
    BuildNumber previousBuild = 0;  ///< the endpoint's build before buildChangedAt
    TimePoint buildChangedAt{};
    TimePoint removedAt{};
    int recentAnswers = 0;  ///< responses that the fleet observer still counts

    bool active() const { return entry.state == EndpointState::active; }
    /// Time since its start; one hour if it is not known because it was long ago.
    Duration age(TimePoint now) const {
        return entry.startedAt ? now - *entry.startedAt : Duration{std::chrono::hours{1}};
    }
    /// Latency as a multiple of the usual. The oldest attempt in flight is taken into account, so
    /// that an endpoint that has stopped responding is noticed before its attempts time out.
    double slowness(const RouteLatencies &latencies, TimePoint now) const;
    /// The build that it ran at the given time.
    BuildNumber buildAt(TimePoint when) const {
        return when < buildChangedAt ? previousBuild : entry.build;
    }
};

/// Endpoints by build. The load balancer permutes the endpoints of a build.
using EndpointsByBuild = std::map<BuildNumber, std::vector<Endpoint *>>;

class EndpointTable {
  public:
    Endpoint *find(const EndpointId &id);
    bool contains(const EndpointId &id) const { return endpoints.contains(id); }
    const std::map<EndpointId, Endpoint> &all() const { return endpoints; }
    EndpointsByBuild &active() { return byBuild; }
    const EndpointsByBuild &active() const { return byBuild; }

    /// Marks all endpoints as removed, before a complete list is applied.
    void markAllRemoved(TimePoint now);
    /// Drops records of endpoints that left longer than `retention` ago and for which
    /// `isReferenced` returns false.
    void dropRemoved(Duration retention, TimePoint now,
                     const std::function<bool(const Endpoint &)> &isReferenced);
    /// Applies the entries of a list; draws a random rounding offset for each endpoint that has
    /// started or changed its build.
    void update(const std::vector<EndpointEntry> &entries, RandomSource &random, TimePoint now);
    /// Records an attempt without a response and ejects the endpoint if the limits are reached.
    void recordUnanswered(Endpoint &endpoint, TimePoint now);

  private:
    std::map<EndpointId, Endpoint> endpoints;
    EndpointsByBuild byBuild;
};

}  // namespace deckcart::policy
