#include "routed_set.hpp"

namespace deckcart::membership {

const RoutedEndpoint *RoutedSet::find(const EndpointId &id) const {
    const auto found = endpoints.find(id);
    return found == endpoints.end() ? nullptr : &found->second;
}

void RoutedSet::put(const EndpointEntry &entry, int priority) {
    endpoints[entry.id] = {entry, priority, {}};
}

const RoutedEndpoint *RoutedSet::drain(const EndpointId &id, TimePoint now, Duration grace) {
    const auto found = endpoints.find(id);
    if (found == endpoints.end())
        return nullptr;
    auto &endpoint = found->second;
    const TimePoint start = endpoint.graceStart.value_or(now);
    if (now - start >= grace) {
        endpoints.erase(found);
        return nullptr;
    }
    endpoint.graceStart = start;
    endpoint.entry.state = EndpointState::draining;
    return &endpoint;
}

}  // namespace deckcart::membership
