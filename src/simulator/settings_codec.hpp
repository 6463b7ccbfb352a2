// Decodes the settings that a gateway gets at startup, in the JSON format that the simulator and
// the users' platform share. The format is described in the users' WIRE page, message INIT.
#pragma once

#include <deckcart/policy.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace deckcart::simulator {

/// The policy's settings and those that the data path needs in addition. The names of routes,
/// tenants and zones are ordered by the policy's indices.
struct DeploymentSettings {
    PolicySettings policy;
    std::vector<std::string> routes;
    std::vector<std::string> tenants;
    std::vector<std::string> zones;
    std::vector<Duration> routeTimeouts;  ///< by route: time after which the client gives up
    std::vector<std::string> loadFields;  ///< names of a load report's fields, in order
    Duration endpointKeepAlive{};         ///< idle time after which endpoints close a connection
    Duration connectTimeout{};
    std::size_t maxRequestsInFlight = 0;

    /// The longest of the routes' timeouts; zero if there are no routes.
    [[nodiscard]] Duration longestTimeout() const;
};

/// Decodes the complete settings.
/// @param seed  of the policy's random choices
/// @throws MalformedInput with the name of the invalid field
[[nodiscard]] DeploymentSettings readSettings(const nlohmann::json &settings, std::uint64_t seed);
/// Decodes the policy's part only; see readSettings().
[[nodiscard]] PolicySettings readPolicySettings(const nlohmann::json &settings, std::uint64_t seed);

}  // namespace deckcart::simulator
