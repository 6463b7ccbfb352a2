// Discovery's endpoint list, whole or as a change, read from its JSON document. Used by the control
// plane client and by the configuration, which holds the list as last known. Pure.
#pragma once

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <deckcart/policy.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace deckcart::platform {

struct DiscoveredEndpoint {
    EndpointEntry entry;  ///< without startedAt, which is on the gateway's clock
    std::optional<asio::ip::tcp::endpoint> address;  ///< empty only for a removed one
    std::int64_t startedAtUnixMs = 0;                ///< 0: long ago
};

struct DiscoveryList {
    std::int64_t generation = 0;  ///< grows with each change
    bool complete = false;        ///< the whole list; else only what has changed
    std::vector<DiscoveredEndpoint> endpoints;
};

/// @param zones  names in the order of their numbers; a zone that is not among them gets the number
///   past their end
/// Throws ParseError with the field's place.
DiscoveryList parseDiscoveryList(const nlohmann::json &document,
                                 const std::vector<std::string> &zones);

}  // namespace deckcart::platform
