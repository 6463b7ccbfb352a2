#include "discovery_list.hpp"

#include <algorithm>

#include "json_fields.hpp"

namespace deckcart::platform {
namespace {

constexpr std::size_t kMaxEndpoints = 20000;  // more than any site has
constexpr std::size_t kMaxIdBytes = 256;
constexpr double kMaxCell = 1e9;
constexpr double kMaxWeight = 1e9;
constexpr double kMaxUnixMs = 1e15;

EndpointState parseState(const JsonFields &fields) {
    const std::string state = fields.text("lifecycle");
    if (state == "Ready")
        return EndpointState::active;
    if (state == "Terminating")
        return EndpointState::draining;
    if (state == "Gone")
        return EndpointState::removed;
    fields.fail("lifecycle", "has an unknown value");
}

DiscoveredEndpoint parseEndpoint(const nlohmann::json &document,
                                 const std::vector<std::string> &zones) {
    const JsonFields fields(document, "instances");
    DiscoveredEndpoint endpoint;
    EndpointEntry &entry = endpoint.entry;
    entry.id = fields.text("instanceId");
    if (entry.id.empty() || entry.id.size() > kMaxIdBytes)
        fields.fail("instanceId", "is empty or too long");
    entry.state = parseState(fields);
    // A removed endpoint may be listed with its id alone.
    const bool removed = entry.state == EndpointState::removed;
    if (!removed || fields.has("hostPort"))
        endpoint.address = fields.address("hostPort");
    if (!removed || fields.has("release"))
        entry.build = BuildNumber(fields.number("release", 0, kMaxBuild));
    if (fields.has("zone"))
        entry.zone = int(std::ranges::find(zones, fields.text("zone")) - zones.begin());
    if (fields.has("cell"))
        entry.cell = int(fields.number("cell", 0, kMaxCell));
    if (fields.has("weight"))
        entry.weight = fields.number("weight", 0, kMaxWeight);
    if (fields.has("startedAtMs"))
        endpoint.startedAtUnixMs = std::int64_t(fields.number("startedAtMs", 0, kMaxUnixMs));
    return endpoint;
}

}  // namespace

DiscoveryList parseDiscoveryList(const nlohmann::json &document,
                                 const std::vector<std::string> &zones) {
    const JsonFields fields(document);
    // Report a missing field before checking the values of the others.
    for (const char *name : {"generation", "reset", "instances"})
        (void)fields.required(name);
    DiscoveryList list;
    list.generation = fields.integer("generation");
    list.complete = fields.boolean("reset");
    const nlohmann::json &endpoints = fields.required("instances");
    if (!endpoints.is_array() || endpoints.size() > kMaxEndpoints)
        fields.fail("instances", "is not an array, or has too many entries");
    for (const auto &endpoint : endpoints)
        list.endpoints.push_back(parseEndpoint(endpoint, zones));
    return list;
}

}  // namespace deckcart::platform
