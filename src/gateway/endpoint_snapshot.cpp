#include "endpoint_snapshot.hpp"

#include <set>

namespace deckcart {

void EndpointSnapshot::apply(const EndpointListUpdate &update, UpstreamPool &upstreams) {
    if (update.complete) {
        std::set<EndpointId> stillListed;
        for (const EndpointEntry &entry : update.entries)
            stillListed.insert(entry.id);
        for (const auto &[id, entry] : listed)
            if (!stillListed.contains(id))
                upstreams.closeIdle(id);
        listed.clear();
    }
    for (const EndpointEntry &entry : update.entries) {
        if (entry.state == EndpointState::removed)
            listed.erase(entry.id);
        else
            listed[entry.id] = entry;
        if (entry.state != EndpointState::active)
            upstreams.closeIdle(entry.id);
        if (entry.state == EndpointState::draining)
            lastDrainingEndpoint = entry.id;
    }
}

const EndpointEntry *EndpointSnapshot::find(const EndpointId &endpoint) const {
    const auto found = listed.find(endpoint);
    return found == listed.end() ? nullptr : &found->second;
}

bool EndpointSnapshot::isActive(const EndpointId &endpoint, BuildNumber build) const {
    const EndpointEntry *entry = find(endpoint);
    return entry && entry->state == EndpointState::active && entry->build == build;
}

std::vector<EndpointEntry> EndpointSnapshot::entries() const {
    std::vector<EndpointEntry> all;
    all.reserve(listed.size());
    for (const auto &[id, entry] : listed)
        all.push_back(entry);
    return all;
}

RolloutState::Change RolloutState::apply(const RolloutUpdate &update) {
    if (update.outcome != Outcome::ok)
        return {};
    const RolloutStage stage{update.build, update.step, update.phase, update.exposureLimit,
                             update.age};
    Change change;
    change.stageMoved = !lastStage || lastStage->build != stage.build ||
                        lastStage->step != stage.step || lastStage->phase != stage.phase;
    if (lastStage && lastStage->build == stage.build &&
        stage.exposureLimit < lastStage->exposureLimit)
        change.loweredBuild = stage.build;
    lastStage = stage;
    return change;
}

}  // namespace deckcart
