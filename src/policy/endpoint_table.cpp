// Endpoint records and updates from the endpoint list.
#include "endpoint_table.hpp"

#include <algorithm>

namespace deckcart::policy {
namespace {

// The elapsed time of an attempt in flight counts by this fraction, since it may be answered at any
// moment.
constexpr double kInFlightTimeFraction = 0.5;

void markRemoved(Endpoint &endpoint, TimePoint now) {
    if (endpoint.entry.state == EndpointState::removed)
        return;
    endpoint.entry.state = EndpointState::removed;
    endpoint.removedAt = now;
}

}  // namespace

double Endpoint::slowness(const RouteLatencies &latencies, TimePoint now) const {
    const double estimate = latency.current(now);
    if (inFlight.empty())
        return estimate;
    const InFlightAttempt &oldest = *inFlight.begin();
    return std::max(estimate, kInFlightTimeFraction * toSeconds(now - oldest.sentAt) /
                                  latencies.usual(oldest.route));
}

Endpoint *EndpointTable::find(const EndpointId &id) {
    const auto found = endpoints.find(id);
    return found == endpoints.end() ? nullptr : &found->second;
}

void EndpointTable::markAllRemoved(TimePoint now) {
    for (auto &[id, endpoint] : endpoints)
        markRemoved(endpoint, now);
}

void EndpointTable::dropRemoved(Duration retention, TimePoint now,
                                const std::function<bool(const Endpoint &)> &isReferenced) {
    std::erase_if(endpoints, [&](const auto &item) {
        const Endpoint &endpoint = item.second;
        return endpoint.entry.state == EndpointState::removed && endpoint.recentAnswers == 0 &&
               now - endpoint.removedAt > retention && !isReferenced(endpoint);
    });
}

void EndpointTable::update(const std::vector<EndpointEntry> &entries, RandomSource &random,
                           TimePoint now) {
    for (const EndpointEntry &entry : entries) {
        Endpoint &endpoint = endpoints[entry.id];
        const bool buildChanged = endpoint.entry.build != entry.build;
        if (endpoint.entry.startedAt != entry.startedAt || buildChanged) {
            endpoint.latency.reset();
            endpoint.health.reset();
            endpoint.slowStart.sends.clear();
            endpoint.slowStart.roundingChance = random.chance();
        }
        if (!endpoint.entry.id.empty() && buildChanged) {
            endpoint.previousBuild = endpoint.entry.build;
            endpoint.buildChangedAt = now;
        }
        if (entry.state == EndpointState::removed)
            markRemoved(endpoint, now);
        endpoint.entry = entry;
    }
    byBuild.clear();
    for (auto &[id, endpoint] : endpoints)
        if (endpoint.active())
            byBuild[endpoint.entry.build].push_back(&endpoint);
}

void EndpointTable::recordUnanswered(Endpoint &endpoint, TimePoint now) {
    if (!endpoint.health.recordUnanswered(now))
        return;
    double ejected = 0;
    double all = 0;
    if (const auto found = byBuild.find(endpoint.entry.build); found != byBuild.end())
        for (const Endpoint *other : found->second) {
            ++all;
            ejected += other->health.ejected(now);
        }
    if (mayEject(ejected, all))
        endpoint.health.eject(now);
}

}  // namespace deckcart::policy
