// The documents that a gateway and its control plane exchange over HTTP: an endpoint of the list, a
// rollout's stage, a usage report. Used by the HTTP client, by a gateway's API and snapshots, and
// by whoever speaks for the control plane. The words on the wire are in documents.cpp.
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

/// An endpoint as documents list it.
struct ListedEndpoint {
    EndpointId id;
    std::string zone;  ///< by name; empty: none given
    int cell = 0;
    BuildNumber build = 0;
    EndpointState state = EndpointState::active;
    double weight = 1;            ///< over 0
    std::string incarnation;      ///< another one for each start of the endpoint
    std::optional<Duration> age;  ///< since that start, when this was written; empty: long ago
};
[[nodiscard]] nlohmann::json toJson(const ListedEndpoint &endpoint);
/// Throws ParseError with the field at fault.
[[nodiscard]] ListedEndpoint readListedEndpoint(const nlohmann::json &document);

/// The entry for the decision module, but for startedAt: that is on the reader's clock.
[[nodiscard]] EndpointEntry entryOf(const ListedEndpoint &endpoint,
                                    const GatewaySettings &settings);
/// The way back, with the endpoint's age at `now`. The entry has no incarnation, so that is empty.
/// @param zones  their names by number; a zone past the end has none
[[nodiscard]] ListedEndpoint listedOf(const EndpointEntry &entry,
                                      const std::vector<std::string> &zones, TimePoint now);

/// Where the rollout of a build stands.
struct RolloutStage {
    BuildNumber build = 0;
    int step = 0;  ///< from 0
    RolloutPhase phase = RolloutPhase::released;
    double exposureLimit = 1;  ///< 0 to 1
    Duration age{};            ///< since the stage began, when this was written
};
[[nodiscard]] nlohmann::json toJson(const RolloutStage &stage);
/// Throws ParseError with the field at fault.
[[nodiscard]] RolloutStage readStage(const nlohmann::json &document);

/// One row of a usage report: what all gateways counted of a build on a route. Empty for a route
/// that this gateway does not have, whatever else the row holds. Throws ParseError with the field
/// at fault.
/// @param routes  how many routes this gateway has
[[nodiscard]] std::optional<UsageReport> readUsageReport(const nlohmann::json &row,
                                                         std::size_t routes);

/// The words of the documents, which logs use too.
[[nodiscard]] const char *nameOf(Verdict verdict);
[[nodiscard]] const char *nameOf(RolloutPhase phase);
/// Empty for a word that names no verdict.
[[nodiscard]] std::optional<Verdict> verdictNamed(const std::string &name);

/// A field that a document must hold. Throws ParseError where it is missing or of another type.
template <class Value>
[[nodiscard]] Value requiredField(const nlohmann::json &document, const char *name) {
    try {
        return document.at(name).get<Value>();
    } catch (const nlohmann::json::exception &) {
        throw ParseError(name, std::string("field ") + name + " is missing or has a wrong type");
    }
}

}  // namespace deckcart
