#include "restart.hpp"

#include <set>

namespace deckcart::membership {

bool mayRestartPolicy(const std::vector<EndpointEntry> &listed, std::optional<RolloutPhase> phase) {
    std::set<BuildNumber> builds;
    for (const auto &entry : listed)
        if (entry.state == EndpointState::active)
            builds.insert(entry.build);
    return builds.size() <= 1 && phase != RolloutPhase::canary;
}

}  // namespace deckcart::membership
