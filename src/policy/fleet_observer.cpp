// Counting of the active endpoints.
#include "fleet_observer.hpp"

#include <algorithm>
#include <utility>

#include "statistics.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

// Interval of counting endpoints and comparing builds: none of the results changes faster.
constexpr Duration kCountInterval = 100ms;

}  // namespace

void FleetObserver::recordAnswer(Endpoint &endpoint, TimePoint now) {
    answers.push_back({now, &endpoint});
    ++endpoint.recentAnswers;
}

void FleetObserver::add(Endpoint &endpoint, bool ofRolloutBuild, TimePoint now) {
    const Duration age = endpoint.age(now);
    if (settings.inPlaceReplacement ||
        slowStart.withinBudget(endpoint.slowStart, age, meanAnswers, now))
        (ofRolloutBuild ? current.rolloutCapacity : current.otherCapacity) +=
            slowStart.warmUpFraction(age);
    current.rolloutEndpoints += ofRolloutBuild;
    if (ofRolloutBuild)
        current.latestRolloutStart =
            std::max(current.latestRolloutStart, endpoint.entry.startedAt.value_or(TimePoint{0}));
    current.targetEndpoints += settings.inPlaceReplacement || !ofRolloutBuild;
    current.anyWarmingUp = current.anyWarmingUp || slowStart.warmingUp(age);
}

void FleetObserver::count(EndpointTable &table, const RouteLatencies &latencies,
                          BuildNumber rolloutBuild, TimePoint now) {
    dueAt = now + kCountInterval;
    current = {};
    std::vector<double> slowness;
    for (const auto &[build, endpoints] : table.active())
        for (Endpoint *endpoint : endpoints) {
            add(*endpoint, build == rolloutBuild, now);
            if (endpoint->age(now) >= slowStart.evidenceAge() && !endpoint->health.ejected(now))
                slowness.push_back(endpoint->slowness(latencies, now));
        }
    // Responses of endpoints that have left the list since are still counted, so the mean is taken
    // over all endpoints that responded, not only over those that remain.
    dropUntil(answers, now - settings.overloadWindow,
              [](const Answer &answer) { --answer.endpoint->recentAnswers; });
    const auto answered = std::size_t(std::ranges::count_if(
        table.all(), [](const auto &item) { return item.second.recentAnswers > 0; }));
    const auto respondingEndpoints = std::max({slowness.size(), answered, std::size_t{1}});
    meanAnswers = double(answers.size()) / double(respondingEndpoints);
    medianSlowness = std::max(1.0, quantile(std::move(slowness), 0.5));
}

}  // namespace deckcart::policy
