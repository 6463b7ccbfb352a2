#include "policy_driver.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace deckcart {
namespace {

// The golden ratio in 64 bits: seeds of following records are far apart.
constexpr std::uint64_t kSeedStep = 0x9e3779b97f4a7c15U;

}  // namespace

PolicyDriver::PolicyDriver(std::uint64_t firstSeed, LoopClock &loopClock,
                           GatewayCounts &gatewayCounts, ActionHandler actionHandler)
    : seed(firstSeed), clock(loopClock), counts(gatewayCounts), onAction(std::move(actionHandler)) {
}

void PolicyDriver::start(PolicySettings settings) {
    ++current;
    requestsOf[current] = 0;
    settings.seed = seed + static_cast<std::uint64_t>(current) * kSeedStep;
    notify(PolicyStarted{std::move(settings)}, current);
}

void PolicyDriver::notify(Event event, GatewayId record) {
    queue.push_back({record, std::move(event)});
    decide();
}

void PolicyDriver::notifyAll(const Event &event) {
    for (const auto &[record, requests] : requestsOf)
        queue.push_back({record, event});
    decide();
}

void PolicyDriver::removeRequest(GatewayId record) {
    --requestsOf[record];
    if (record != current)
        stopIfIdle(record);
}

void PolicyDriver::stopIfIdle(GatewayId record) {
    if (requestsOf[record] != 0)
        return;
    requestsOf.erase(record);
    notify(PolicyStopped{}, record);
}

void PolicyDriver::decide() {
    if (deciding)
        return;  // an action of the event in hand led here: the loop below goes on with the queue
    deciding = true;
    while (!queue.empty()) {
        const GatewayId record = queue.front().record;
        eventInHand.clear();
        eventInHand.push_back(std::move(queue.front().event));
        queue.pop_front();
        const TimePoint now = clock.turn();
        const auto from = std::chrono::steady_clock::now();
        const auto actions = policy.decide(record, now, eventInHand);
        const auto took =
            std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - from);
        counts.deciding += took;
        counts.longestDeciding = std::max(counts.longestDeciding, took);
        ++counts.decisions;
        for (const auto &action : actions)
            onAction(record, action);
    }
    deciding = false;
}

}  // namespace deckcart
