// JSON documents that a gateway and its control plane exchange over HTTP: listed endpoints, rollout
// stages and usage reports. Used by the HTTP client, by the gateway's API and snapshots, and by
// test doubles of the control plane. The names of enum values on the wire are in documents.cpp.
#pragma once

#include <deckcart/policy.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../base/parse_error.hpp"
#include "../settings/gateway_settings.hpp"

namespace deckcart {

/// An endpoint as it is listed in documents.
struct ListedEndpoint {
    EndpointId id;
    std::string zone;  ///< name of the zone; empty if not given
    int cell = 0;
    BuildNumber build = 0;
    EndpointState state = EndpointState::active;
    double weight = 1;            ///< above 0
    std::string incarnation;      ///< differs for each start of the endpoint
    std::optional<Duration> age;  ///< time since that start when the document was written;
                                  ///< empty: started long ago
};
[[nodiscard]] nlohmann::json toJson(const ListedEndpoint &endpoint);
/// Throws ParseError that names the invalid field.
[[nodiscard]] ListedEndpoint readListedEndpoint(const nlohmann::json &document);

/// Converts to an entry for the decision module. Leaves startedAt empty, since it is a time on the
/// reader's clock.
[[nodiscard]] EndpointEntry toEndpointEntry(const ListedEndpoint &endpoint,
                                            const GatewaySettings &settings);
/// Converts an entry back, with the endpoint's age at `now`. The incarnation is empty, since
/// entries don't hold it.
/// @param zones  names by zone number; for a number beyond the end the zone is left empty
[[nodiscard]] ListedEndpoint toListedEndpoint(const EndpointEntry &entry,
                                              const std::vector<std::string> &zones, TimePoint now);

/// The stage that the rollout of a build has reached.
struct RolloutStage {
    BuildNumber build = 0;
    int step = 0;  ///< index of the stage, from 0
    RolloutPhase phase = RolloutPhase::released;
    double exposureLimit = 1;  ///< 0 to 1
    Duration age{};            ///< time since the stage began when the document was written
};
[[nodiscard]] nlohmann::json toJson(const RolloutStage &stage);
/// Throws ParseError that names the invalid field.
[[nodiscard]] RolloutStage readStage(const nlohmann::json &document);

/// Reads one row of a usage report: the attempts and failures of a build on a route, summed over
/// all gateways. Returns nothing for a route that this gateway doesn't have; the rest of such a row
/// is not checked. Throws ParseError that names the invalid field.
/// @param routeCount  number of routes of this gateway
[[nodiscard]] std::optional<UsageReport> readUsageReport(const nlohmann::json &row,
                                                         std::size_t routeCount);

/// The name of the value in documents, also used in logs.
[[nodiscard]] const char *nameOf(Verdict verdict);
/// The name of the value in documents, also used in logs.
[[nodiscard]] const char *nameOf(RolloutPhase phase);
/// Empty if no verdict has this name.
[[nodiscard]] std::optional<Verdict> parseVerdict(const std::string &name);

/// Reads a required field. Throws ParseError if it is missing or of another type.
template <class Value>
[[nodiscard]] Value requiredField(const nlohmann::json &document, const char *name) {
    try {
        return document.at(name).get<Value>();
    } catch (const nlohmann::json::exception &) {
        throw ParseError(name, std::string("field ") + name + " is missing or has a wrong type");
    }
}

}  // namespace deckcart
