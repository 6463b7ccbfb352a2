// Maps endpoint ids to the addresses that discovery lists for them. Updated by
// PlatformControlPlaneClient, read by RespUpstreamPool; the decision module knows ids only.
#pragma once

#include <map>

#include "discovery_list.hpp"

namespace deckcart::platform {

/// Holds the current incarnation of each listed endpoint.
class EndpointDirectory {
  public:
    /// One run of an endpoint's process at one address. A connection to an earlier incarnation of
    /// the same id must not be reused.
    struct Incarnation {
        asio::ip::tcp::endpoint address;
        BuildNumber build = 0;
        std::int64_t startedAtUnixMs = 0;  ///< 0: long ago
        bool operator==(const Incarnation &) const = default;
    };

    /// Replaces the content with a complete list, or merges an incremental one.
    void apply(const DiscoveryList &list);
    /// @return null if no endpoint with this id is listed; valid until the next apply()
    [[nodiscard]] const Incarnation *find(const EndpointId &id) const;

  private:
    std::map<EndpointId, Incarnation> incarnations;
};

}  // namespace deckcart::platform
