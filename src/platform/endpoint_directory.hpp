// The address that discovery gives beside each endpoint's id. Filled by the control plane client,
// read by the upstream pool; the decision module knows ids alone.
#pragma once

#include <map>

#include "discovery_list.hpp"

namespace deckcart::platform {

/// The present incarnation of each listed endpoint.
class EndpointDirectory {
  public:
    /// One run of an endpoint's process at an address. A connection to another incarnation of the
    /// same id is not used any more.
    struct Incarnation {
        asio::ip::tcp::endpoint address;
        BuildNumber build = 0;
        std::int64_t startedAtUnixMs = 0;
        bool operator==(const Incarnation &) const = default;
    };

    void apply(const DiscoveryList &list);
    /// Null where no endpoint of this id is listed. Valid until the next apply().
    [[nodiscard]] const Incarnation *find(const EndpointId &id) const;

  private:
    std::map<EndpointId, Incarnation> incarnations;
};

}  // namespace deckcart::platform
