// Readers of the sections on the sources of the endpoint list (desk, sources) and of logs.
#include <algorithm>
#include <set>
#include <string_view>

#include "../base/address.hpp"
#include "settings_reader.hpp"

namespace deckcart::settings {
namespace {

using membership::SourceKind;
using nlohmann::json;

constexpr auto kDefaultListTimeout = std::chrono::seconds(1);
constexpr auto kDefaultWatchSilence = std::chrono::seconds(3);

// The kinds of sources as they are named in the document.
constexpr std::string_view kControlPlaneKind = "desk";
constexpr std::string_view kNodesKind = "nodes";
constexpr std::string_view kSrvKind = "srv";

void readMergeRules(SettingsReader &reader, const json &section, membership::MergeRules &merge) {
    readField(section, "longestStalenessMs", merge.maxStaleness);
    readField(section, "confirmShare", merge.confirmFraction);
    readField(section, "confirmAfterMs", merge.confirmAfter);
    readField(section, "graceMs", merge.grace);
    readField(section, "reserveBelow", merge.reserveBelow);
    merge.reserveUntil = std::max(merge.reserveUntil, merge.reserveBelow);
    readField(section, "reserveUntil", merge.reserveUntil);
    if (merge.reserveUntil < merge.reserveBelow)
        reader.refuse(
            "/sources/reserveUntil",
            "must not be less than /sources/reserveBelow: a priority class would keep opening "
            "and closing");
}

/// Returns whether the control plane's list is a source; by default, if there is a control plane.
bool readControlPlaneList(SettingsReader &reader, const json &section) {
    const bool hasControlPlane = reader.document.contains("desk");
    bool listed = hasControlPlane;
    readField(section, "deskList", listed);
    if (listed && !hasControlPlane)
        reader.refuse("/sources/deskList", "must not be true: there is no section /desk");
    return listed;
}

void readNodes(SettingsReader &reader, const json &section, SourceSettings &sources) {
    const json nodes = section.value("nodes", json::array());
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        const std::string path = elementPath("/sources/nodes", index);
        membership::Claim claim;
        EndpointEntry &entry = claim.entry;
        if (const auto address = reader.readAddress(nodes[index], "address", path + "/address"))
            entry.id = format(*address);
        readField(nodes[index], "build", entry.build);
        readField(nodes[index], "cell", entry.cell);
        readField(nodes[index], "weight", entry.weight);
        entry.zone = reader.readZone(nodes[index], path);
        claim.listedAs = entry.id;
        for (const auto &other : sources.staticEndpoints)
            if (other.entry.id == entry.id)
                reader.refuse(path + "/address",
                              "is used by an earlier node: addresses must be unique");
        sources.staticEndpoints.push_back(std::move(claim));
    }
}

void readSrvNames(SettingsReader &reader, const json &names, SourceSettings &sources) {
    for (std::size_t index = 0; index < names.size(); ++index) {
        const std::string path = elementPath("/sources/srv/names", index);
        membership::SrvName srv;
        srv.name = dns::canonicalName(names[index].at("name").get<std::string>());
        if (srv.name.empty())
            reader.refuse(path + "/name", "is not a valid DNS name");
        readField(names[index], "build", srv.build);
        readField(names[index], "cell", srv.cell);
        srv.zone = reader.readZone(names[index], path);
        for (const auto &other : sources.srvNames)
            if (other.name == srv.name)
                reader.refuse(path + "/name", "is used by an earlier entry: names must be unique");
        sources.srvNames.push_back(std::move(srv));
    }
}

void readNameServers(SettingsReader &reader, const json &servers, dns::ResolverSettings &resolver) {
    for (std::size_t index = 0; index < servers.size(); ++index) {
        const auto text = servers[index].get<std::string>();
        const auto address = parseAddress(text);
        if (!address || address->port() == 0)
            reader.refuse(
                elementPath("/sources/srv/servers", index),
                "'" + text +
                    "' is not a valid address: must be HOST:PORT, where HOST is an IPv4 "
                    "address, an IPv6 address in brackets or localhost, and PORT is not 0");
        else
            resolver.servers.emplace_back(address->address(), address->port());
    }
}

void readSrv(SettingsReader &reader, const json &section, SourceSettings &sources) {
    const auto found = section.find("srv");
    if (found == section.end())
        return;
    const json &srv = *found;
    dns::ResolverSettings &resolver = sources.resolver;
    readSrvNames(reader, srv.at("names"), sources);
    readNameServers(reader, srv.at("servers"), resolver);
    readField(srv, "lifetimeFloorMs", resolver.refresh.floor);
    readField(srv, "lifetimeCeilingMs", resolver.refresh.ceiling);
    readField(srv, "negativeCeilingMs", resolver.refresh.negativeCeiling);
    readField(srv, "questionsASecond", resolver.questionsPerSecond);
    readField(srv, "questionsInFlight", resolver.inFlight);
    if (resolver.refresh.floor > resolver.refresh.ceiling)
        reader.refuse("/sources/srv/lifetimeFloorMs",
                      "must not exceed /sources/srv/lifetimeCeilingMs");
}

/// Returns all kinds of sources, highest precedence first. Kinds that the document leaves out
/// follow those that it names, in the order control plane, nodes, SRV.
std::vector<std::string> readPrecedence(SettingsReader &reader, const json &section) {
    auto kinds = section.value("precedence", std::vector<std::string>{});
    const std::set<std::string> distinctKinds(kinds.begin(), kinds.end());
    if (distinctKinds.size() != kinds.size())
        reader.refuse("/sources/precedence", "each kind may be named only once");
    for (const auto kind : {kControlPlaneKind, kNodesKind, kSrvKind})
        if (std::ranges::find(kinds, kind) == kinds.end())
            kinds.emplace_back(kind);
    return kinds;
}

void addSources(const std::string &kind, bool controlPlaneListed, SourceSettings &sources) {
    auto &rules = sources.merge.sources;
    if (kind == kControlPlaneKind && controlPlaneListed)
        rules.push_back({kind, SourceKind::controlPlane});
    if (kind == kNodesKind && !sources.staticEndpoints.empty())
        rules.push_back({kind, SourceKind::nodes});
    if (kind == kSrvKind)
        for (const auto &srv : sources.srvNames)
            rules.push_back({srv.name, SourceKind::srv});
}

}  // namespace

void readControlPlane(SettingsReader &reader) {
    const auto found = reader.document.find("desk");
    if (found == reader.document.end())
        return;
    const auto address = reader.readAddress(*found, "address", "/desk/address");
    ControlPlaneSettings settings{address.value_or(asio::ip::tcp::endpoint{}), kDefaultListTimeout,
                                  kDefaultWatchSilence};
    readField(*found, "answerWithinMs", settings.listTimeout);
    readField(*found, "silentForMs", settings.watchSilenceTimeout);
    reader.settings.controlPlane = settings;
}

void readLogs(SettingsReader &reader) {
    readField(reader.section("logs"), "reqSample", reader.settings.requestLogSample);
}

void readSources(SettingsReader &reader) {
    const auto found = reader.document.find("sources");
    if (found == reader.document.end())
        return;
    const json &section = *found;
    SourceSettings sources;
    readMergeRules(reader, section, sources.merge);
    const bool controlPlaneListed = readControlPlaneList(reader, section);
    readNodes(reader, section, sources);
    readSrv(reader, section, sources);
    for (const auto &kind : readPrecedence(reader, section))
        addSources(kind, controlPlaneListed, sources);
    if (sources.merge.sources.empty())
        reader.refuse("/sources",
                      "must define at least one source: no endpoint could ever be listed");
    reader.settings.sources = std::move(sources);
}

}  // namespace deckcart::settings
