#include "lookup.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace deckcart::dns {
namespace {

constexpr std::uint32_t kForever = 0x7fffffff;  // the longest lifetime there is (RFC 2181, 8)

const char *codeName(std::uint8_t code) {
    switch (static_cast<Code>(code)) {
    case Code::noError:
        return "NOERROR";
    case Code::formErr:
        return "FORMERR";
    case Code::servFail:
        return "SERVFAIL";
    case Code::nxDomain:
        return "NXDOMAIN";
    case Code::notImp:
        return "NOTIMP";
    case Code::refused:
        return "REFUSED";
    }
    return "an error";
}

std::uint32_t negativeSeconds(const Message &reply) {
    for (const auto &r : reply.authority)
        if (const auto *zone = std::get_if<ZoneStart>(&r.data))
            return std::min(r.seconds, zone->negativeSeconds);
    return 0;
}

// Addresses of one version for `name` in a section; the least lifetime of them.
std::vector<asio::ip::address> addressesOf(const std::vector<Record> &section,
                                           const std::string &name, bool v4,
                                           std::uint32_t &seconds) {
    std::vector<asio::ip::address> out;
    for (const auto &r : section) {
        const auto *address = std::get_if<asio::ip::address>(&r.data);
        if (!address || r.owner != name || address->is_v4() != v4)
            continue;
        out.push_back(*address), seconds = std::min(seconds, r.seconds);
    }
    return out;
}

}  // namespace

const char *nameOf(FoundKind kind) {
    switch (kind) {
    case FoundKind::servers:
        return "servers";
    case FoundKind::noData:
        return "no-data";
    case FoundKind::noName:
        return "no-name";
    case FoundKind::notOffered:
        return "not-offered";
    case FoundKind::failed:
        return "failed";
    }
    return "failed";
}

std::string domainOf(const std::string &serviceName) {
    std::string_view rest = serviceName;
    while (rest.starts_with('_')) {
        const auto dot = rest.find('.');
        if (dot == std::string_view::npos || dot + 1 == rest.size())
            return ".";
        rest.remove_prefix(dot + 1);
    }
    return std::string(rest);
}

std::map<std::string, KnownAddresses> aged(std::map<std::string, KnownAddresses> known,
                                           Duration passed) {
    const auto gone =
        std::uint32_t(std::chrono::duration_cast<std::chrono::seconds>(passed).count());
    for (auto &[target, there] : known)
        there.seconds = there.seconds > gone ? there.seconds - gone : 0;
    return known;
}

Lookup::Lookup(std::string serviceName, std::map<std::string, KnownAddresses> before,
               LookupBounds with)
    : name(std::move(serviceName)), at(name), known(std::move(before)), bounds(with) {
    result.seconds = kForever;
    passed.insert(name);
    toAsk.push_back({name, Type::srv});
}

std::vector<Question> Lookup::ask() {
    return std::exchange(toAsk, {});
}

void Lookup::failed(const Question &question, const std::string &why) {
    if (done)
        return;
    if (question.type != Type::srv)
        return noAddress(question.name, why);
    result.kind = FoundKind::failed, result.fault = why, done = true;
}

void Lookup::replied(const Question &question, const Message &reply) {
    if (done)
        return;
    const bool known_ =
        reply.code == std::uint8_t(Code::noError) || reply.code == std::uint8_t(Code::nxDomain);
    if (!known_)
        return failed(question, codeName(reply.code));
    if (question.type == Type::srv)
        servers(question, reply);
    else
        addressReply(question, reply);
}

void Lookup::servers(const Question &question, const Message &reply) {
    // Aliases may come with their ends in one reply, in any order.
    for (bool moved = true; moved;) {
        moved = false;
        for (const auto &r : reply.answers) {
            const auto *alias = std::get_if<Alias>(&r.data);
            if (!alias || r.owner != at)
                continue;
            if (!passed.insert(alias->target).second)
                return failed({at, Type::srv}, "aliases go round in a circle");
            if (passed.size() > bounds.aliases + 1)
                return failed({at, Type::srv}, "too many aliases in a row");
            at = alias->target, least(r.seconds), moved = true;
            break;
        }
    }
    std::map<std::pair<std::string, std::uint16_t>, Srv> byPlace;
    bool refusedService = false;
    std::size_t seen = 0;
    for (const auto &r : reply.answers) {
        const auto *srv = std::get_if<Srv>(&r.data);
        if (!srv || r.owner != at)
            continue;
        ++seen, least(r.seconds);
        if (srv->target == ".") {
            refusedService = true;
            continue;
        }
        if (srv->port == 0) {
            result.notes.push_back(srv->target + ": port 0");
            continue;
        }
        const auto [it, fresh] = byPlace.try_emplace({srv->target, srv->port}, *srv);
        if (!fresh && !(it->second == *srv)) {
            result.notes.push_back(
                srv->target + ": listed twice, the better priority and the greater weight stand");
            if (std::tuple(srv->priority, -int(srv->weight)) <
                std::tuple(it->second.priority, -int(it->second.weight)))
                it->second = *srv;
        }
    }
    if (seen == 0) {
        const bool nothing = reply.code == std::uint8_t(Code::nxDomain);
        // The alias's end is another zone's to tell; asked for itself, an empty reply is the
        // answer.
        if (!nothing && at != question.name && reply.authority.empty()) {
            toAsk.push_back({at, Type::srv});
            return;
        }
        result.kind = nothing ? FoundKind::noName : FoundKind::noData;
        least(negativeSeconds(reply)), done = true;
        return;
    }
    if (byPlace.empty()) {
        result.kind = refusedService ? FoundKind::notOffered : FoundKind::noData, done = true;
        return;
    }
    if (refusedService)
        result.notes.push_back("target \".\" among others: passed over");
    for (auto &[place, srv] : byPlace)
        srvs.push_back(std::move(srv));
    std::ranges::sort(srvs, {},
                      [](const Srv &s) { return std::tie(s.priority, s.target, s.port); });
    if (srvs.size() > bounds.targets) {
        result.notes.push_back(std::to_string(srvs.size() - bounds.targets) +
                               " targets over the bound left out");
        srvs.resize(bounds.targets);
    }
    const std::string domain = domainOf(at);
    for (const auto &srv : srvs) {
        if (settled.contains(srv.target) || open.contains(srv.target))
            continue;
        std::uint32_t seconds = kForever;
        std::vector<asio::ip::address> came;
        if (within(srv.target, domain)) {
            came = addressesOf(reply.additional, srv.target, true, seconds);
            if (came.empty())
                came = addressesOf(reply.additional, srv.target, false, seconds);
        }
        const auto before = known.find(srv.target);
        if (!came.empty())
            settle(srv.target, std::move(came), seconds);
        else if (before != known.end() && before->second.seconds > 0)
            settle(srv.target, before->second.addresses, before->second.seconds);
        else
            open.insert(srv.target), toAsk.push_back({srv.target, Type::a});
    }
    finish();
}

void Lookup::addressReply(const Question &question, const Message &reply) {
    for (const auto &r : reply.answers)
        if (std::holds_alternative<Alias>(r.data) && r.owner == question.name) {
            result.notes.push_back(question.name +
                                   ": is an alias, which a target must not be (RFC 2782)");
            settle(question.name, {}, r.seconds);
            return finish();
        }
    std::uint32_t seconds = kForever;
    auto got = addressesOf(reply.answers, question.name, question.type == Type::a, seconds);
    if (!got.empty())
        settle(question.name, std::move(got), seconds);
    else if (question.type == Type::a && reply.code == std::uint8_t(Code::noError))
        toAsk.push_back({question.name, Type::aaaa});
    else {
        result.notes.push_back(question.name + ": has no address");
        settle(question.name, {}, negativeSeconds(reply));
    }
    finish();
}

void Lookup::settle(const std::string &target, std::vector<asio::ip::address> addresses,
                    std::uint32_t seconds) {
    std::ranges::sort(addresses);
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    if (addresses.size() > bounds.addresses) {
        result.notes.push_back(target + ": addresses over the bound left out");
        addresses.resize(bounds.addresses);
    }
    open.erase(target), settled[target] = {std::move(addresses), seconds};
}

void Lookup::noAddress(const std::string &target, const std::string &why) {
    const auto before = known.find(target);
    if (before != known.end() && !before->second.addresses.empty()) {
        result.notes.push_back(target + ": " + why + "; address of before");
        settle(target, before->second.addresses, 0);
    } else {
        // Not the same as a target without an address: what it stands for is not known.
        result.unresolved.push_back(target);
        result.notes.push_back(target + ": " + why);
        settle(target, {}, 0);
    }
    finish();
}

void Lookup::finish() {
    if (done || !open.empty())
        return;
    for (const auto &srv : srvs) {
        const auto &there = settled.at(srv.target);
        least(there.seconds);
        if (!there.addresses.empty())
            result.targets.push_back({srv, there.addresses});
    }
    done = true, result.kind = FoundKind::servers;
    if (result.targets.empty() && !result.unresolved.empty())
        result.kind = FoundKind::failed,
        result.fault = "no target has an address that could be asked for";
    std::ranges::sort(result.unresolved);
}

std::map<std::string, KnownAddresses> Lookup::addresses() const {
    std::map<std::string, KnownAddresses> out;
    for (const auto &[target, there] : settled)
        if (!there.addresses.empty())
            out.emplace(target, there);
    return out;
}

}  // namespace deckcart::dns
