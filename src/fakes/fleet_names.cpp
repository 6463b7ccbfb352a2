#include "fleet_names.hpp"

#include <algorithm>

#include "../base/address.hpp"

namespace deckcart::fakes {

using scenarios::srvNameOf;

FleetNames::FleetNames(asio::io_context &io, const scenarios::Scenario &given,
                       const Clock &runClock, scenarios::Records &recordsOut, std::uint32_t seed)
    : scenario(given), clock(runClock), records(recordsOut) {
    for (std::size_t gateway = 0; gateway < given.gatewayWeights.size(); ++gateway) {
        auto &gatewayServers = servers.emplace_back();
        for (int server = 0; server < given.nameServers; ++server) {
            gatewayServers.push_back(std::make_unique<NameServer>(
                io, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0), ++seed));
            gatewayServers.back()->onReply = [this, gateway](const dns::Message &reply) {
                recordReply(int(gateway), reply);
            };
        }
    }
}

std::vector<std::string> FleetNames::addresses(int gateway) const {
    std::vector<std::string> addresses;
    for (const auto &server : servers[std::size_t(gateway)])
        addresses.push_back(
            format(asio::ip::tcp::endpoint(server->address().address(), server->address().port())));
    return addresses;
}

std::vector<dns::Record>
FleetNames::recordsOf(const std::vector<ListedEndpointRecord> &listed) const {
    const auto lifetime = std::uint32_t(scenario.recordLifetime.count() / 1000000);
    std::vector<dns::Record> zoneRecords{{"example.org.", lifetime, dns::Soa{lifetime}}};
    for (const auto &entry : listed) {
        const auto address = *parseAddress(entry.id);
        const std::string target =
            "relay" + std::to_string(address.port()) + "." + entry.zone + ".example.org.";
        zoneRecords.push_back({srvNameOf(entry.build, entry.zone), lifetime,
                               dns::Srv{10, 1, address.port(), target}});
        zoneRecords.push_back({target, lifetime, address.address()});
    }
    return zoneRecords;
}

void FleetNames::serve(std::vector<ListedEndpointRecord> listed) {
    fleet = std::move(listed);
    const auto zoneRecords = recordsOf(fleet);
    for (auto &gatewayServers : servers)
        for (std::size_t server = 0; server < gatewayServers.size(); ++server)
            if (!frozen.contains(server))
                gatewayServers[server]->serve(zoneRecords);
}

void FleetNames::setFaults(std::size_t server, const NameFaults &faults) {
    for (auto &gatewayServers : servers)
        if (server < gatewayServers.size())
            gatewayServers[server]->misbehave(faults);
}

void FleetNames::freeze(std::size_t server, bool on) {
    if (on)
        frozen.insert(server);
    else
        frozen.erase(server), serve(fleet);
}

// An endpoint counts as draining once the replies have left it out for the confirmation time; until
// then the gateway may keep it. An endpoint that appears in a later reply than the first counts as
// started at that time.
void FleetNames::recordReply(int gateway, const dns::Message &reply) {
    if (!reply.question || reply.question->type != dns::RecordType::srv)
        return;
    const Duration now = clock.now();
    auto &known = knownReplies[{gateway, reply.question->name}];
    BuildNumber build = 0;
    for (const BuildNumber candidate : {BuildNumber{1}, BuildNumber{2}})
        for (const auto &zone : scenario.zones)
            if (srvNameOf(candidate, zone) == reply.question->name)
                build = candidate;
    std::set<EndpointId> listed;
    for (const auto &record : reply.answers)
        if (const auto *srv = std::get_if<dns::Srv>(&record.data))
            listed.insert("127.0.0.1:" + std::to_string(srv->port));
    for (const auto &id : listed) {
        const auto [it, added] = known.missing.try_emplace(id, std::nullopt);
        if (added || it->second)
            records.endpoints.push_back(
                {gateway, now, id, build, EndpointState::active, known.anyReply});
        it->second.reset();
    }
    for (auto &[id, since] : known.missing) {
        if (listed.contains(id))
            continue;
        if (!since)
            since = now;
        if (*since != Duration::max() && now - *since >= scenario.confirmAfter) {
            records.endpoints.push_back({gateway, now, id, build, EndpointState::draining, false});
            since = Duration::max();
        }
    }
    known.anyReply = true;
}

}  // namespace deckcart::fakes
