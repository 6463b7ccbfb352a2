#include "endpoint_snapshot.hpp"

#include <set>

namespace deckcart {

void EndpointSnapshot::apply(const EndpointListUpdate &update, UpstreamPool &upstreams) {
    if (update.complete) {
        std::set<EndpointId> stillListed;
        for (const EndpointEntry &entry : update.entries)
            stillListed.insert(entry.id);
        for (const auto &[id, entry] : entriesById)
            if (!stillListed.contains(id))
                upstreams.closeIdle(id);
        entriesById.clear();
    }
    for (const EndpointEntry &entry : update.entries) {
        if (entry.state == EndpointState::removed)
            entriesById.erase(entry.id);
        else
            entriesById[entry.id] = entry;
        if (entry.state != EndpointState::active)
            upstreams.closeIdle(entry.id);
        if (entry.state == EndpointState::draining)
            lastDrainingEndpoint = entry.id;
    }
}

const EndpointEntry *EndpointSnapshot::find(const EndpointId &endpoint) const {
    const auto found = entriesById.find(endpoint);
    return found == entriesById.end() ? nullptr : &found->second;
}

bool EndpointSnapshot::isActive(const EndpointId &endpoint, BuildNumber build) const {
    const EndpointEntry *entry = find(endpoint);
    return entry && entry->state == EndpointState::active && entry->build == build;
}

std::vector<EndpointEntry> EndpointSnapshot::entries() const {
    std::vector<EndpointEntry> all;
    all.reserve(entriesById.size());
    for (const auto &[id, entry] : entriesById)
        all.push_back(entry);
    return all;
}

RolloutState::Change RolloutState::apply(const RolloutUpdate &update) {
    if (update.outcome != Outcome::ok)
        return {};
    const RolloutStage stage{update.build, update.step, update.phase, update.exposureLimit,
                             update.age};
    Change change;
    change.stageChanged = !currentStage || currentStage->build != stage.build ||
                          currentStage->step != stage.step || currentStage->phase != stage.phase;
    if (currentStage && currentStage->build == stage.build &&
        stage.exposureLimit < currentStage->exposureLimit)
        change.buildWithLoweredLimit = stage.build;
    currentStage = stage;
    return change;
}

}  // namespace deckcart
