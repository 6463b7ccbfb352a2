// The settings that the simulator and the users' platform give a gateway at its start, in the one
// JSON form that both use (WIRE page of the users, message INIT).
#pragma once

#include <deckcart/policy.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace deckcart::simulator {

/// What the policy starts with, and what a data path needs beside that. Names stand in the order
/// of the policy's indices.
struct DeploymentSettings {
    PolicySettings start;
    std::vector<std::string> routes;
    std::vector<std::string> tenants;
    std::vector<std::string> zones;
    std::vector<Duration> routeTimeouts;  ///< by route: when the client gives up
    std::vector<std::string> loadFields;  ///< of a load report, in order
    Duration keptIdle{};                  ///< endpoints close connections idle for so long
    Duration connectWithin{};
    std::size_t maxRequestsInFlight = 0;

    /// Zero where there are no routes.
    [[nodiscard]] Duration longestTimeout() const;
};

/// @throws MalformedInput with the field at fault
[[nodiscard]] DeploymentSettings readSettings(const nlohmann::json &settings, std::uint64_t seed);
[[nodiscard]] PolicySettings readPolicySettings(const nlohmann::json &settings, std::uint64_t seed);

}  // namespace deckcart::simulator
