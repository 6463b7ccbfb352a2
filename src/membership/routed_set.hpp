// The set that is routed to, with the endpoints that leave it: row 6 of the table in
// docs/design-membership.md. Used by the merge; pure.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "reading.hpp"

namespace deckcart::membership {

/// An endpoint of the set, with the entry that it has there.
struct RoutedEndpoint {
    EndpointEntry entry;
    int priority = kNoClass;
    /// Since when it leaves; empty: it stays.
    std::optional<TimePoint> leavingSince;
};

class RoutedSet {
  public:
    /// Null: it is not in the set.
    [[nodiscard]] const RoutedEndpoint *find(const EndpointId &id) const;
    [[nodiscard]] const std::map<EndpointId, RoutedEndpoint> &all() const { return endpoints; }
    /// Puts it in, with this entry, or ends its leaving.
    void put(const EndpointEntry &entry, int priority);
    void remove(const EndpointId &id) { endpoints.erase(id); }
    /// Lets it drain, from the first of these calls on, with the entry it had. Null: it is not in
    /// the set, or the grace is over and it is removed.
    const RoutedEndpoint *leave(const EndpointId &id, TimePoint now, Duration grace);

  private:
    std::map<EndpointId, RoutedEndpoint> endpoints;
};

}  // namespace deckcart::membership
