#include "policy_driver.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace deckcart {
namespace {

// 2^64 divided by the golden ratio: spreads the seeds of consecutive generations.
constexpr std::uint64_t kSeedStep = 0x9e3779b97f4a7c15U;

}  // namespace

PolicyDriver::PolicyDriver(std::uint64_t firstSeed, LoopClock &loopClock,
                           GatewayCounts &gatewayCounts, ActionHandler actionHandler)
    : seed(firstSeed), clock(loopClock), counts(gatewayCounts), onAction(std::move(actionHandler)) {
}

void PolicyDriver::start(PolicySettings settings) {
    ++current;
    requestsInFlight[current] = 0;
    settings.seed = seed + static_cast<std::uint64_t>(current) * kSeedStep;
    notify(PolicyStarted{std::move(settings)}, current);
}

void PolicyDriver::notify(Event event, GatewayId generation) {
    queue.push_back({generation, std::move(event)});
    decide();
}

void PolicyDriver::notifyAll(const Event &event) {
    for (const auto &[generation, requests] : requestsInFlight)
        queue.push_back({generation, event});
    decide();
}

void PolicyDriver::removeRequest(GatewayId generation) {
    --requestsInFlight[generation];
    if (generation != current)
        stopIfIdle(generation);
}

void PolicyDriver::stopIfIdle(GatewayId generation) {
    if (requestsInFlight[generation] != 0)
        return;
    requestsInFlight.erase(generation);
    notify(PolicyStopped{}, generation);
}

void PolicyDriver::decide() {
    if (deciding)
        return;  // called from an action of the current event: the loop below processes the queue
    deciding = true;
    while (!queue.empty()) {
        const GatewayId generation = queue.front().generation;
        currentEvent.clear();
        currentEvent.push_back(std::move(queue.front().event));
        queue.pop_front();
        const TimePoint now = clock.tick();
        const auto startedAt = std::chrono::steady_clock::now();
        const auto actions = policy.decide(generation, now, currentEvent);
        const auto elapsed =
            std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - startedAt);
        counts.deciding += elapsed;
        counts.longestDeciding = std::max(counts.longestDeciding, elapsed);
        ++counts.decisions;
        for (const auto &action : actions)
            onAction(generation, action);
    }
    deciding = false;
}

}  // namespace deckcart
