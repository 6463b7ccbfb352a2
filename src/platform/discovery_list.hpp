// Parses the discovery service's endpoint list, complete or incremental, from its JSON document.
// Used by PlatformControlPlaneClient and by the configuration, which holds the last known list.
// Performs no I/O.
#pragma once

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <deckcart/policy.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace deckcart::platform {

/// One endpoint of a list.
struct DiscoveredEndpoint {
    EndpointEntry entry;  ///< startedAt is unset, since it counts on the gateway's clock
    std::optional<asio::ip::tcp::endpoint> address;  ///< may be empty for a removed endpoint only
    std::int64_t startedAtUnixMs = 0;                ///< Unix time in ms; 0: long ago
};

/// A complete list, or the endpoints that changed since the previous generation.
struct DiscoveryList {
    std::int64_t generation = 0;  ///< increases with each change
    bool complete = false;        ///< false: holds changed endpoints only
    std::vector<DiscoveredEndpoint> endpoints;
};

/// @param zones  zone names by index; an unknown zone gets the index zones.size()
/// @throws ParseError with the path of the invalid field
DiscoveryList parseDiscoveryList(const nlohmann::json &document,
                                 const std::vector<std::string> &zones);

}  // namespace deckcart::platform
