#include "endpoint_directory.hpp"

namespace deckcart::platform {

void EndpointDirectory::apply(const DiscoveryList &list) {
    if (list.complete)
        incarnations.clear();
    for (const auto &endpoint : list.endpoints) {
        const EndpointEntry &entry = endpoint.entry;
        if (entry.state == EndpointState::removed)
            incarnations.erase(entry.id);
        else if (endpoint.address)
            incarnations[entry.id] = {*endpoint.address, entry.build, endpoint.startedAtUnixMs};
    }
}

const EndpointDirectory::Incarnation *EndpointDirectory::find(const EndpointId &id) const {
    const auto found = incarnations.find(id);
    return found == incarnations.end() ? nullptr : &found->second;
}

}  // namespace deckcart::platform
