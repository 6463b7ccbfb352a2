// Counts the active endpoints.
#include "fleet_observer.hpp"

#include <algorithm>
#include <utility>

#include "statistics.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

// Endpoints are counted and builds compared so often: nothing that they tell changes sooner.
constexpr Duration kCountInterval = 100ms;

}  // namespace

void FleetObserver::recordAnswer(Endpoint &endpoint, TimePoint now) {
    answers.push_back({now, &endpoint});
    ++endpoint.recentAnswers;
}

void FleetObserver::add(Endpoint &endpoint, bool isNewest, TimePoint now) {
    const Duration age = endpoint.age(now);
    if (settings.inPlaceReplacement ||
        slowStart.withinBudget(endpoint.slowStart, age, perEndpoint, now))
        (isNewest ? current.newestCapacity : current.otherCapacity) +=
            slowStart.warmUpFraction(age);
    current.newestEndpoints += isNewest;
    if (isNewest)
        current.newestStart =
            std::max(current.newestStart, endpoint.entry.startedAt.value_or(TimePoint{0}));
    current.places += settings.inPlaceReplacement || !isNewest;
    current.anyWarmingUp = current.anyWarmingUp || slowStart.warmingUp(age);
}

void FleetObserver::count(EndpointTable &table, const RouteLatencies &latencies, BuildNumber newest,
                          TimePoint now) {
    dueAt = now + kCountInterval;
    current = {};
    std::vector<double> slowness;
    for (const auto &[build, endpoints] : table.active())
        for (Endpoint *endpoint : endpoints) {
            add(*endpoint, build == newest, now);
            if (endpoint->age(now) >= slowStart.evidenceAge() && !endpoint->health.ejected(now))
                slowness.push_back(endpoint->slowness(latencies, now));
        }
    // Endpoints that have left since gave some of these answers: the ones that remain did not bear
    // them all.
    dropUntil(answers, now - settings.overloadWindow,
              [](const Answer &answer) { --answer.endpoint->recentAnswers; });
    const auto answered = std::size_t(std::ranges::count_if(
        table.all(), [](const auto &item) { return item.second.recentAnswers > 0; }));
    const auto bearers = std::max({slowness.size(), answered, std::size_t{1}});
    perEndpoint = double(answers.size()) / double(bearers);
    medianSlowness = std::max(1.0, quantile(std::move(slowness), 0.5));
}

}  // namespace deckcart::policy
