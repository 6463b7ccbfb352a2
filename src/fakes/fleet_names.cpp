#include "fleet_names.hpp"

#include <algorithm>

#include "../base/address.hpp"

namespace deckcart::fakes {

using scenarios::srvNameOf;

FleetNames::FleetNames(asio::io_context &io, const scenarios::Scenario &of, const Clock &time,
                       scenarios::Records &into, std::uint32_t seed)
    : day(of), clock(time), records(into) {
    for (std::size_t g = 0; g < of.gatewayWeights.size(); ++g) {
        auto &mine = servers.emplace_back();
        for (int k = 0; k < of.nameServers; ++k) {
            mine.push_back(std::make_unique<NameServer>(
                io, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0), ++seed));
            mine.back()->onTold = [this, g](const dns::Message &reply) { told(int(g), reply); };
        }
    }
}

std::vector<std::string> FleetNames::addresses(int gateway) const {
    std::vector<std::string> out;
    for (const auto &s : servers[std::size_t(gateway)])
        out.push_back(format(asio::ip::tcp::endpoint(s->address().address(), s->address().port())));
    return out;
}

std::vector<dns::Record> FleetNames::recordsOf(const std::vector<Listed> &now) const {
    const auto lifetime = std::uint32_t(day.recordLifetime.count() / 1000000);
    std::vector<dns::Record> out{{"example.org.", lifetime, dns::Soa{lifetime}}};
    for (const auto &one : now) {
        const auto at = *parseAddress(one.id);
        const std::string target =
            "relay" + std::to_string(at.port()) + "." + one.zone + ".example.org.";
        out.push_back(
            {srvNameOf(one.build, one.zone), lifetime, dns::Srv{10, 1, at.port(), target}});
        out.push_back({target, lifetime, at.address()});
    }
    return out;
}

void FleetNames::serve(std::vector<Listed> now) {
    fleet = std::move(now);
    const auto made = recordsOf(fleet);
    for (auto &mine : servers)
        for (std::size_t k = 0; k < mine.size(); ++k)
            if (!frozen.contains(k))
                mine[k]->serve(made);
}

void FleetNames::misbehave(std::size_t server, const NameFaults &faults) {
    for (auto &mine : servers)
        if (server < mine.size())
            mine[server]->misbehave(faults);
}

void FleetNames::freeze(std::size_t server, bool on) {
    if (on)
        frozen.insert(server);
    else
        frozen.erase(server), serve(fleet);
}

// An instance is told to leave once the replies have left it out for as long as a confirmation
// takes; before that a gateway may hold the loss. One that turns up in a later reply than the first
// has started then.
void FleetNames::told(int gateway, const dns::Message &reply) {
    if (!reply.question || reply.question->type != dns::RecordType::srv)
        return;
    const Duration now = clock.now();
    auto &s = seen[{gateway, reply.question->name}];
    BuildNumber build = 0;
    for (const BuildNumber b : {BuildNumber{1}, BuildNumber{2}})
        for (const auto &zone : day.zones)
            if (srvNameOf(b, zone) == reply.question->name)
                build = b;
    std::set<EndpointId> listed;
    for (const auto &r : reply.answers)
        if (const auto *srv = std::get_if<dns::Srv>(&r.data))
            listed.insert("127.0.0.1:" + std::to_string(srv->port));
    for (const auto &id : listed) {
        const auto [it, fresh] = s.missing.try_emplace(id, std::nullopt);
        if (fresh || it->second)
            records.endpoints.push_back({gateway, now, id, build, EndpointState::active, s.any});
        it->second.reset();
    }
    for (auto &[id, since] : s.missing) {
        if (listed.contains(id))
            continue;
        if (!since)
            since = now;
        if (*since != Duration::max() && now - *since >= day.confirmAfter) {
            records.endpoints.push_back({gateway, now, id, build, EndpointState::draining, false});
            since = Duration::max();
        }
    }
    s.any = true;
}

}  // namespace deckcart::fakes
