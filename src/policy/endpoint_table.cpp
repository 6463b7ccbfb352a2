// Endpoint records and what a new list does to them.
#include "endpoint_table.hpp"

#include <algorithm>

namespace deckcart::policy {
namespace {

// An attempt in flight counts as this part of its time so far: it may be answered at any moment.
constexpr double kInFlightPart = 0.5;

void markLeft(Endpoint &endpoint, TimePoint now) {
    if (endpoint.entry.state == EndpointState::removed)
        return;
    endpoint.entry.state = EndpointState::removed;
    endpoint.leftAt = now;
}

}  // namespace

double Endpoint::slowness(const RouteLatencies &latencies, TimePoint now) const {
    const double estimate = latency.current(now);
    if (inFlight.empty())
        return estimate;
    const InFlightAttempt &oldest = *inFlight.begin();
    return std::max(estimate,
                    kInFlightPart * toSeconds(now - oldest.sentAt) / latencies.usual(oldest.route));
}

Endpoint *EndpointTable::find(const EndpointId &id) {
    const auto at = endpoints.find(id);
    return at == endpoints.end() ? nullptr : &at->second;
}

void EndpointTable::markAllLeft(TimePoint now) {
    for (auto &[id, endpoint] : endpoints)
        markLeft(endpoint, now);
}

void EndpointTable::forgetLeft(Duration memory, TimePoint now,
                               const std::function<bool(const Endpoint &)> &referredTo) {
    std::erase_if(endpoints, [&](const auto &item) {
        const Endpoint &endpoint = item.second;
        return endpoint.entry.state == EndpointState::removed && endpoint.recentAnswers == 0 &&
               now - endpoint.leftAt > memory && !referredTo(endpoint);
    });
}

void EndpointTable::update(const std::vector<EndpointEntry> &entries, RandomSource &random,
                           TimePoint now) {
    for (const EndpointEntry &entry : entries) {
        Endpoint &endpoint = endpoints[entry.id];
        const bool otherBuild = endpoint.entry.build != entry.build;
        if (endpoint.entry.startedAt != entry.startedAt || otherBuild) {
            endpoint.latency.reset();
            endpoint.health.reset();
            endpoint.slowStart.sends.clear();
            endpoint.slowStart.roundingChance = random.chance();
        }
        if (!endpoint.entry.id.empty() && otherBuild) {
            endpoint.previousBuild = endpoint.entry.build;
            endpoint.buildChangedAt = now;
        }
        if (entry.state == EndpointState::removed)
            markLeft(endpoint, now);
        endpoint.entry = entry;
    }
    byBuild.clear();
    for (auto &[id, endpoint] : endpoints)
        if (endpoint.listed())
            byBuild[endpoint.entry.build].push_back(&endpoint);
}

void EndpointTable::recordUnanswered(Endpoint &endpoint, TimePoint now) {
    if (!endpoint.health.recordUnanswered(now))
        return;
    double ejected = 0;
    double all = 0;
    if (const auto at = byBuild.find(endpoint.entry.build); at != byBuild.end())
        for (const Endpoint *other : at->second) {
            ++all;
            ejected += other->health.ejected(now);
        }
    if (mayEject(ejected, all))
        endpoint.health.eject(now);
}

}  // namespace deckcart::policy
