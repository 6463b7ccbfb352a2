// The sections on where the endpoint list comes from: desk, sources; and logs.
#include <algorithm>
#include <set>
#include <string_view>

#include "../base/address.hpp"
#include "settings_reader.hpp"

namespace deckcart::settings {
namespace {

using membership::SourceKind;
using nlohmann::json;

constexpr auto kListTimeout = std::chrono::seconds(1);   // unless the document says so
constexpr auto kWatchSilence = std::chrono::seconds(3);  // as above

// As the document names the kinds of sources.
constexpr std::string_view kControlPlaneKind = "desk";
constexpr std::string_view kNodesKind = "nodes";
constexpr std::string_view kSrvKind = "srv";

void readMergeRules(SettingsReader &reader, const json &from, membership::MergeRules &merge) {
    readField(from, "longestStalenessMs", merge.longestStale);
    readField(from, "confirmShare", merge.confirmShare);
    readField(from, "confirmAfterMs", merge.confirmAfter);
    readField(from, "graceMs", merge.grace);
    readField(from, "reserveBelow", merge.reserveBelow);
    merge.reserveUntil = std::max(merge.reserveUntil, merge.reserveBelow);
    readField(from, "reserveUntil", merge.reserveUntil);
    if (merge.reserveUntil < merge.reserveBelow)
        reader.refuse("/sources/reserveUntil",
                      "is below /sources/reserveBelow: a class would open and close for ever");
}

/// Whether the control plane's list is a source.
bool readControlPlaneList(SettingsReader &reader, const json &from) {
    const bool hasControlPlane = reader.document.contains("desk");
    bool listed = hasControlPlane;
    readField(from, "deskList", listed);
    if (listed && !hasControlPlane)
        reader.refuse("/sources/deskList", "is set, but there is no /desk");
    return listed;
}

void readNodes(SettingsReader &reader, const json &from, SourceSettings &sources) {
    const json nodes = from.value("nodes", json::array());
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        const std::string path = elementPath("/sources/nodes", index);
        membership::Claim claim;
        EndpointEntry &entry = claim.entry;
        if (const auto address = reader.address(nodes[index], "address", path + "/address"))
            entry.id = format(*address);
        readField(nodes[index], "build", entry.build);
        readField(nodes[index], "cell", entry.cell);
        readField(nodes[index], "weight", entry.weight);
        entry.zone = reader.zone(nodes[index], path);
        claim.as = entry.id;
        for (const auto &other : sources.nodes)
            if (other.entry.id == entry.id)
                reader.refuse(path + "/address", "stands twice");
        sources.nodes.push_back(std::move(claim));
    }
}

void readSrvNames(SettingsReader &reader, const json &names, SourceSettings &sources) {
    for (std::size_t index = 0; index < names.size(); ++index) {
        const std::string path = elementPath("/sources/srv/names", index);
        membership::SrvName srv;
        srv.name = dns::canonicalName(names[index].at("name").get<std::string>());
        if (srv.name.empty())
            reader.refuse(path + "/name", "is no DNS name");
        readField(names[index], "build", srv.build);
        readField(names[index], "cell", srv.cell);
        srv.zone = reader.zone(names[index], path);
        for (const auto &other : sources.names)
            if (other.name == srv.name)
                reader.refuse(path + "/name", "stands twice");
        sources.names.push_back(std::move(srv));
    }
}

void readNameServers(SettingsReader &reader, const json &servers, dns::ResolverSettings &resolver) {
    for (std::size_t index = 0; index < servers.size(); ++index) {
        const auto text = servers[index].get<std::string>();
        const auto address = parseAddress(text);
        if (!address || address->port() == 0)
            reader.refuse(elementPath("/sources/srv/servers", index),
                          "'" + text + "' is not HOST:PORT with a numeric host and a port");
        else
            resolver.servers.emplace_back(address->address(), address->port());
    }
}

void readSrv(SettingsReader &reader, const json &from, SourceSettings &sources) {
    const auto found = from.find("srv");
    if (found == from.end())
        return;
    const json &srv = *found;
    dns::ResolverSettings &resolver = sources.resolver;
    readSrvNames(reader, srv.at("names"), sources);
    readNameServers(reader, srv.at("servers"), resolver);
    readField(srv, "lifetimeFloorMs", resolver.refresh.floor);
    readField(srv, "lifetimeCeilingMs", resolver.refresh.ceiling);
    readField(srv, "negativeCeilingMs", resolver.refresh.negativeCeiling);
    readField(srv, "questionsASecond", resolver.questionsASecond);
    readField(srv, "questionsInFlight", resolver.inFlight);
    if (resolver.refresh.floor > resolver.refresh.ceiling)
        reader.refuse("/sources/srv/lifetimeFloorMs", "is over /sources/srv/lifetimeCeilingMs");
}

/// The kinds as asked for; those that are not named come behind, in the order control plane, nodes,
/// SRV.
std::vector<std::string> readPrecedence(SettingsReader &reader, const json &from) {
    auto kinds = from.value("precedence", std::vector<std::string>{});
    const std::set<std::string> different(kinds.begin(), kinds.end());
    if (different.size() != kinds.size())
        reader.refuse("/sources/precedence", "a kind stands twice");
    for (const auto kind : {kControlPlaneKind, kNodesKind, kSrvKind})
        if (std::ranges::find(kinds, kind) == kinds.end())
            kinds.emplace_back(kind);
    return kinds;
}

void addSources(const std::string &kind, bool controlPlaneListed, SourceSettings &sources) {
    auto &rules = sources.merge.sources;
    if (kind == kControlPlaneKind && controlPlaneListed)
        rules.push_back({kind, SourceKind::controlPlane});
    if (kind == kNodesKind && !sources.nodes.empty())
        rules.push_back({kind, SourceKind::nodes});
    if (kind == kSrvKind)
        for (const auto &srv : sources.names)
            rules.push_back({srv.name, SourceKind::srv});
}

}  // namespace

void readControlPlane(SettingsReader &reader) {
    const auto found = reader.document.find("desk");
    if (found == reader.document.end())
        return;
    const auto address = reader.address(*found, "address", "/desk/address");
    ControlPlaneSettings settings{address.value_or(asio::ip::tcp::endpoint{}), kListTimeout,
                                  kWatchSilence};
    readField(*found, "answerWithinMs", settings.answerWithin);
    readField(*found, "silentForMs", settings.silentFor);
    reader.settings.controlPlane = settings;
}

void readLogs(SettingsReader &reader) {
    readField(reader.section("logs"), "reqSample", reader.settings.requestLogSample);
}

void readSources(SettingsReader &reader) {
    const auto found = reader.document.find("sources");
    if (found == reader.document.end())
        return;
    const json &from = *found;
    SourceSettings sources;
    readMergeRules(reader, from, sources.merge);
    const bool controlPlaneListed = readControlPlaneList(reader, from);
    readNodes(reader, from, sources);
    readSrv(reader, from, sources);
    for (const auto &kind : readPrecedence(reader, from))
        addSources(kind, controlPlaneListed, sources);
    if (sources.merge.sources.empty())
        reader.refuse("/sources", "names no source: no instance could ever be listed");
    reader.settings.sources = std::move(sources);
}

}  // namespace deckcart::settings
