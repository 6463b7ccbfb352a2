// The set of endpoints that are routed to, including those that drain before they leave it: row 6
// of the table in docs/design-membership.md. Used by the merge; pure.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "reading.hpp"

namespace deckcart::membership {

/// An endpoint of the set, with its entry there.
struct RoutedEndpoint {
    EndpointEntry entry;
    int priority = kNoPriorityClass;
    /// Start of its grace period; empty: it is not leaving the set.
    std::optional<TimePoint> graceStart;
};

class RoutedSet {
  public:
    /// Null: it is not in the set.
    [[nodiscard]] const RoutedEndpoint *find(const EndpointId &id) const;
    [[nodiscard]] const std::map<EndpointId, RoutedEndpoint> &all() const { return endpoints; }
    /// Adds the endpoint or replaces its entry, and cancels its grace period.
    void put(const EndpointEntry &entry, int priority);
    void remove(const EndpointId &id) { endpoints.erase(id); }
    /// Makes the endpoint draining with the entry it had; the first call starts its grace period.
    /// Null: it is not in the set, or its grace period is over and this call removed it.
    const RoutedEndpoint *drain(const EndpointId &id, TimePoint now, Duration grace);

  private:
    std::map<EndpointId, RoutedEndpoint> endpoints;
};

}  // namespace deckcart::membership
