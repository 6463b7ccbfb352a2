#include "lookup.hpp"

#include <algorithm>
#include <utility>

namespace deckcart::dns {
namespace {

// The longest lifetime there is (RFC 2181, 8).
constexpr std::uint32_t kLongestSeconds = 0x7fffffff;

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

bool hasCode(const Message &reply, Code code) {
    return reply.code == std::uint8_t(code);
}

// Lifetime of a negative answer (RFC 2308, 5).
std::uint32_t negativeSeconds(const Message &reply) {
    for (const auto &record : reply.authority)
        if (const auto *zone = std::get_if<Soa>(&record.data))
            return std::min(record.seconds, zone->negativeSeconds);
    return 0;
}

// Addresses of one version for `name` in a section, with the least lifetime of them.
CachedAddresses addressesOf(const std::vector<Record> &section, const std::string &name,
                            bool versionFour) {
    CachedAddresses out{{}, kLongestSeconds};
    for (const auto &record : section) {
        const auto *address = std::get_if<asio::ip::address>(&record.data);
        if (!address || record.owner != name || address->is_v4() != versionFour)
            continue;
        out.addresses.push_back(*address);
        out.seconds = std::min(out.seconds, record.seconds);
    }
    return out;
}

// The alias of `name` among the answers, or null.
const Record *aliasOf(const Message &reply, const std::string &name) {
    for (const auto &record : reply.answers)
        if (std::holds_alternative<Alias>(record.data) && record.owner == name)
            return &record;
    return nullptr;
}

// Of two records for one server.
bool isBetter(const Srv &one, const Srv &other) {
    return std::tuple(one.priority, -int(one.weight)) <
           std::tuple(other.priority, -int(other.weight));
}

}  // namespace

const char *nameOf(LookupOutcome kind) {
    switch (kind) {
    case LookupOutcome::servers:
        return "servers";
    case LookupOutcome::noData:
        return "no-data";
    case LookupOutcome::noName:
        return "no-name";
    case LookupOutcome::notOffered:
        return "not-offered";
    case LookupOutcome::failed:
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

AddressCache aged(AddressCache cache, Duration passed) {
    const auto seconds =
        std::uint32_t(std::chrono::duration_cast<std::chrono::seconds>(passed).count());
    for (auto &[target, of] : cache)
        of.seconds = of.seconds > seconds ? of.seconds - seconds : 0;
    return cache;
}

Lookup::Lookup(std::string serviceName, AddressCache before, LookupBounds with)
    : aliasEnd(std::move(serviceName)), cached(std::move(before)), bounds(with) {
    found.seconds = kLongestSeconds;
    aliasChain.insert(aliasEnd);
    pendingQuestions.push_back({aliasEnd, Type::srv});
}

std::vector<Question> Lookup::takeQuestions() {
    return std::exchange(pendingQuestions, {});
}

void Lookup::onFailure(const Question &question, const std::string &why) {
    if (done)
        return;
    if (question.type == Type::srv)
        fail(why);
    else
        settleWithoutReply(question.name, why);
}

void Lookup::onReply(const Question &question, const Message &reply) {
    if (done)
        return;
    if (!hasCode(reply, Code::noError) && !hasCode(reply, Code::nxDomain))
        onFailure(question, codeName(reply.code));
    else if (question.type == Type::srv)
        onSrvReply(question, reply);
    else
        onAddressReply(question, reply);
}

void Lookup::onSrvReply(const Question &question, const Message &reply) {
    if (!followAliases(reply))
        return;
    const SrvRecords records = collectServers(reply);
    if (records.count == 0) {
        onNoServers(question, reply);
        return;
    }
    if (records.servers.empty()) {
        finishWith(records.notOffered ? LookupOutcome::notOffered : LookupOutcome::noData);
        return;
    }
    takeServers(records);
    const std::string domain = domainOf(aliasEnd);
    for (const auto &srv : srvs)
        resolveTarget(srv.target, reply, domain);
    finishIfResolved();
}

// Aliases may come with their ends in one reply, in any order. False: the chain is a fault.
bool Lookup::followAliases(const Message &reply) {
    while (const Record *record = aliasOf(reply, aliasEnd)) {
        const std::string &target = std::get<Alias>(record->data).target;
        if (!aliasChain.insert(target).second) {
            fail("aliases go round in a circle");
            return false;
        }
        if (aliasChain.size() > bounds.aliases + 1) {
            fail("too many aliases in a row");
            return false;
        }
        aliasEnd = target;
        boundLifetime(record->seconds);
    }
    return true;
}

Lookup::SrvRecords Lookup::collectServers(const Message &reply) {
    SrvRecords records;
    for (const auto &record : reply.answers) {
        const auto *srv = std::get_if<Srv>(&record.data);
        if (!srv || record.owner != aliasEnd)
            continue;
        ++records.count;
        boundLifetime(record.seconds);
        if (srv->target == ".")
            records.notOffered = true;
        else if (srv->port == 0)
            found.notes.push_back(srv->target + ": port 0");
        else
            addServer(*srv, records.servers);
    }
    return records;
}

void Lookup::addServer(const Srv &srv, std::map<HostPort, Srv> &servers) {
    const auto [place, isNew] = servers.try_emplace({srv.target, srv.port}, srv);
    if (isNew || place->second == srv)
        return;
    found.notes.push_back(srv.target +
                          ": listed twice, the better priority and the greater weight stand");
    if (isBetter(srv, place->second))
        place->second = srv;
}

void Lookup::onNoServers(const Question &question, const Message &reply) {
    const bool noName = hasCode(reply, Code::nxDomain);
    // The alias's end is another zone's to answer for; asked for itself, an empty reply is the
    // answer.
    if (!noName && aliasEnd != question.name && reply.authority.empty()) {
        pendingQuestions.push_back({aliasEnd, Type::srv});
        return;
    }
    boundLifetime(negativeSeconds(reply));
    finishWith(noName ? LookupOutcome::noName : LookupOutcome::noData);
}

void Lookup::takeServers(const SrvRecords &records) {
    if (records.notOffered)
        found.notes.emplace_back("target \".\" among others: passed over");
    for (const auto &[place, srv] : records.servers)
        srvs.push_back(srv);
    std::ranges::sort(srvs, {},
                      [](const Srv &srv) { return std::tie(srv.priority, srv.target, srv.port); });
    if (srvs.size() > bounds.targets) {
        found.notes.push_back(std::to_string(srvs.size() - bounds.targets) +
                              " targets over the bound left out");
        srvs.resize(bounds.targets);
    }
}

// Takes the target's addresses from the reply or the cache, or has them asked for.
void Lookup::resolveTarget(const std::string &target, const Message &reply,
                           const std::string &domain) {
    if (settled.contains(target) || unsettled.contains(target))
        return;
    CachedAddresses additional;
    if (within(target, domain)) {
        additional = addressesOf(reply.additional, target, true);
        if (additional.addresses.empty())
            additional = addressesOf(reply.additional, target, false);
    }
    const auto before = cached.find(target);
    if (!additional.addresses.empty()) {
        settle(target, std::move(additional.addresses), additional.seconds);
    } else if (before != cached.end() && before->second.seconds > 0) {
        settle(target, before->second.addresses, before->second.seconds);
    } else {
        unsettled.insert(target);
        pendingQuestions.push_back({target, Type::a});
    }
}

void Lookup::onAddressReply(const Question &question, const Message &reply) {
    auto got = addressesOf(reply.answers, question.name, question.type == Type::a);
    if (const Record *alias = aliasOf(reply, question.name)) {
        found.notes.push_back(question.name +
                              ": is an alias, which a target must not be (RFC 2782)");
        settle(question.name, {}, alias->seconds);
    } else if (!got.addresses.empty()) {
        settle(question.name, std::move(got.addresses), got.seconds);
    } else if (question.type == Type::a && hasCode(reply, Code::noError)) {
        pendingQuestions.push_back({question.name, Type::aaaa});
    } else {
        found.notes.push_back(question.name + ": has no address");
        settle(question.name, {}, negativeSeconds(reply));
    }
    finishIfResolved();
}

void Lookup::settle(const std::string &target, std::vector<asio::ip::address> addresses,
                    std::uint32_t seconds) {
    std::ranges::sort(addresses);
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    if (addresses.size() > bounds.addresses) {
        found.notes.push_back(target + ": addresses over the bound left out");
        addresses.resize(bounds.addresses);
    }
    unsettled.erase(target);
    settled[target] = {std::move(addresses), seconds};
}

void Lookup::settleWithoutReply(const std::string &target, const std::string &why) {
    const auto before = cached.find(target);
    if (before != cached.end() && !before->second.addresses.empty()) {
        found.notes.push_back(target + ": " + why + "; address of before");
        settle(target, before->second.addresses, 0);
    } else {
        // Not the same as a target without an address: what it stands for is not known.
        found.unresolved.push_back(target);
        found.notes.push_back(target + ": " + why);
        settle(target, {}, 0);
    }
    finishIfResolved();
}

void Lookup::fail(const std::string &why) {
    found.fault = why;
    finishWith(LookupOutcome::failed);
}

void Lookup::finishWith(LookupOutcome kind) {
    found.kind = kind;
    done = true;
}

void Lookup::finishIfResolved() {
    if (done || !unsettled.empty())
        return;
    for (const auto &srv : srvs) {
        const auto &of = settled.at(srv.target);
        boundLifetime(of.seconds);
        if (!of.addresses.empty())
            found.targets.push_back({srv, of.addresses});
    }
    std::ranges::sort(found.unresolved);
    if (found.targets.empty() && !found.unresolved.empty())
        fail("no target has an address that could be asked for");
    else
        finishWith(LookupOutcome::servers);
}

void Lookup::boundLifetime(std::uint32_t seconds) {
    found.seconds = std::min(found.seconds, seconds);
}

AddressCache Lookup::addresses() const {
    AddressCache out;
    for (const auto &[target, of] : settled)
        if (!of.addresses.empty())
            out.emplace(target, of);
    return out;
}

}  // namespace deckcart::dns
