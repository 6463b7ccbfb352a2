// The document that the platform starts a gateway with: addresses, resource limits, what was last
// known, settings of the deployment. Read by the process at its start and at SIGHUP. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "../simulator/settings_codec.hpp"
#include "discovery_list.hpp"

namespace deckcart::platform {

struct PlatformConfiguration {
    std::string name;  ///< of this gateway
    asio::ip::tcp::endpoint listen;
    asio::ip::tcp::endpoint discovery;
    asio::ip::tcp::endpoint control;
    std::uint64_t seed = 0;
    double cores = 1;
    std::size_t memoryMb = 0;
    std::size_t sockets = 0;
    DiscoveryList knownEndpoints;
    std::optional<RolloutUpdate> knownRollout;
    simulator::DeploymentSettings settings;
};

/// Throws ParseError that names the field.
PlatformConfiguration parseConfiguration(const std::string &text);

}  // namespace deckcart::platform
