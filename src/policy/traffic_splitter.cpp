// Sticky hash, canary share and order of builds.
#include "traffic_splitter.hpp"

#include <algorithm>
#include <cstddef>

namespace deckcart::policy {

// FNV-1a with a salt and a final mix that spreads short keys; the upper 53 bits form the fraction.
double stickyHash(const std::string &key, std::uint64_t salt) {
    std::uint64_t hash = 0xcbf29ce484222325u ^ (salt * 0x9e3779b97f4a7c15u);
    for (const char letter : key)
        hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001b3u;
    hash ^= hash >> 31;
    hash *= 0xbf58476d1ce4e5b9u;
    hash ^= hash >> 29;
    return double(hash >> 11) / 9007199254740992.0;
}

double canaryShare(const RolloutTracker &rollout, const FleetSummary &fleet, bool evenShare) {
    const double stageEndpoints = std::max(1.0, rollout.stageShare() * fleet.targetEndpoints);
    const double share = kFirstAttemptShare * rollout.current().exposureLimit *
                         std::min(1.0, fleet.rolloutCapacity / stageEndpoints);
    if (!evenShare)
        return share;
    const double capacity = std::max(1.0, fleet.rolloutCapacity + fleet.otherCapacity);
    return std::min(share, fleet.rolloutCapacity / capacity);
}

BuildNumber baselineBuild(const EndpointsByBuild &builds, const RolloutTracker &rollout) {
    const auto found = std::find_if(builds.rbegin(), builds.rend(), [&](const auto &item) {
        return !rollout.isCanary(item.first);
    });
    return found == builds.rend() ? 0 : found->first;
}

std::vector<BuildNumber> buildOrder(const EndpointsByBuild &builds, const RolloutTracker &rollout,
                                    bool canaryFirst) {
    const BuildNumber baseline = baselineBuild(builds, rollout);
    std::vector<BuildNumber> order;
    if (canaryFirst)
        order.push_back(rollout.current().build);
    if (baseline)
        order.push_back(baseline);
    if (!canaryFirst && rollout.known() && rollout.current().phase != RolloutPhase::rolledBack)
        order.push_back(rollout.current().build);
    const auto first = std::ptrdiff_t(order.size());
    for (const auto &[build, endpoints] : builds)
        if (build < baseline)
            order.push_back(build);
    std::reverse(order.begin() + first, order.end());
    return order;
}

}  // namespace deckcart::policy
