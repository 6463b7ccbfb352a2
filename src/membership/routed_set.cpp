#include "routed_set.hpp"

namespace deckcart::membership {

const RoutedEndpoint *RoutedSet::find(const EndpointId &id) const {
    const auto found = endpoints.find(id);
    return found == endpoints.end() ? nullptr : &found->second;
}

void RoutedSet::put(const EndpointEntry &entry, int priority) {
    endpoints[entry.id] = {entry, priority, {}};
}

const RoutedEndpoint *RoutedSet::leave(const EndpointId &id, TimePoint now, Duration grace) {
    const auto found = endpoints.find(id);
    if (found == endpoints.end())
        return nullptr;
    auto &endpoint = found->second;
    const TimePoint since = endpoint.leavingSince.value_or(now);
    if (now - since >= grace) {
        endpoints.erase(found);
        return nullptr;
    }
    endpoint.leavingSince = since;
    endpoint.entry.state = EndpointState::draining;
    return &endpoint;
}

}  // namespace deckcart::membership
