// The JSON document that the platform starts a gateway with: addresses, resource limits, the last
// known endpoint list and rollout, the deployment's settings. The service reads it at startup and
// at SIGHUP. Performs no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "../simulator/settings_codec.hpp"
#include "discovery_list.hpp"

namespace deckcart::platform {

/// A validated configuration document.
struct PlatformConfiguration {
    std::string name;                           ///< of this gateway
    asio::ip::tcp::endpoint listen;             ///< address for clients
    asio::ip::tcp::endpoint discovery;          ///< address of the discovery service
    asio::ip::tcp::endpoint control;            ///< address of the control service
    std::uint64_t seed = 0;                     ///< of the gateway's random choices
    double cores = 1;                           ///< CPU share of the process
    std::size_t memoryMb = 0;                   ///< memory of the process in MiB
    std::size_t sockets = 0;                    ///< sockets that the process may hold open
    DiscoveryList knownEndpoints;               ///< endpoint list as last known to the platform
    std::optional<RolloutUpdate> knownRollout;  ///< empty if no rollout is known
    simulator::DeploymentSettings settings;
};

/// Parses and validates the document.
/// @throws ParseError with the path of the invalid field
PlatformConfiguration parseConfiguration(const std::string &text);

}  // namespace deckcart::platform
