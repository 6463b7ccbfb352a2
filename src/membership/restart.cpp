#include "restart.hpp"

#include <set>

namespace deckcart::membership {

bool mayStartAnew(const std::vector<ServerEntry> &listed, std::optional<Phase> phase) {
    std::set<BuildNo> builds;
    for (const auto &e : listed)
        if (e.readiness == Readiness::live) builds.insert(e.build);
    return builds.size() <= 1 && phase != Phase::onTrial;
}

}  // namespace deckcart::membership
