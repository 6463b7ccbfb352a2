#include "lookup.hpp"

#include <algorithm>
#include <utility>

namespace deckcart::dns {
namespace {

// The maximum TTL (RFC 2181, 8).
constexpr std::uint32_t kMaxTtlSeconds = 0x7fffffff;

const char *codeName(std::uint8_t code) {
    switch (static_cast<ResponseCode>(code)) {
    case ResponseCode::noError:
        return "NOERROR";
    case ResponseCode::formErr:
        return "FORMERR";
    case ResponseCode::servFail:
        return "SERVFAIL";
    case ResponseCode::nxDomain:
        return "NXDOMAIN";
    case ResponseCode::notImp:
        return "NOTIMP";
    case ResponseCode::refused:
        return "REFUSED";
    }
    return "unknown response code";
}

bool hasCode(const Message &reply, ResponseCode code) {
    return reply.code == std::uint8_t(code);
}

// TTL of a negative answer (RFC 2308, 5).
std::uint32_t negativeTtlSeconds(const Message &reply) {
    for (const auto &record : reply.authority)
        if (const auto *soa = std::get_if<Soa>(&record.data))
            return std::min(record.ttlSeconds, soa->negativeTtlSeconds);
    return 0;
}

// Addresses of one IP version for `name` in a section, with their least TTL.
CachedAddresses addressesOf(const std::vector<Record> &section, const std::string &name,
                            bool ipv4) {
    CachedAddresses out{{}, kMaxTtlSeconds};
    for (const auto &record : section) {
        const auto *address = std::get_if<asio::ip::address>(&record.data);
        if (!address || record.owner != name || address->is_v4() != ipv4)
            continue;
        out.addresses.push_back(*address);
        out.ttlSeconds = std::min(out.ttlSeconds, record.ttlSeconds);
    }
    return out;
}

// The CNAME record of `name` among the answers, or null.
const Record *aliasOf(const Message &reply, const std::string &name) {
    for (const auto &record : reply.answers)
        if (std::holds_alternative<Cname>(record.data) && record.owner == name)
            return &record;
    return nullptr;
}

// Whether the first of two records for the same server takes precedence.
bool hasPrecedence(const Srv &one, const Srv &other) {
    return std::tuple(one.priority, -int(one.weight)) <
           std::tuple(other.priority, -int(other.weight));
}

}  // namespace

const char *nameOf(LookupOutcome outcome) {
    switch (outcome) {
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
    for (auto &[target, entry] : cache)
        entry.ttlSeconds = entry.ttlSeconds > seconds ? entry.ttlSeconds - seconds : 0;
    return cache;
}

Lookup::Lookup(std::string serviceName, AddressCache cache, LookupBounds lookupBounds)
    : currentName(std::move(serviceName)), cached(std::move(cache)), bounds(lookupBounds) {
    found.ttlSeconds = kMaxTtlSeconds;
    aliasChain.insert(currentName);
    pendingQuestions.push_back({currentName, RecordType::srv});
}

std::vector<Question> Lookup::takeQuestions() {
    return std::exchange(pendingQuestions, {});
}

void Lookup::onFailure(const Question &question, const std::string &why) {
    if (done)
        return;
    if (question.type == RecordType::srv)
        fail(why);
    else
        resolveFromCache(question.name, why);
}

void Lookup::onReply(const Question &question, const Message &reply) {
    if (done)
        return;
    if (!hasCode(reply, ResponseCode::noError) && !hasCode(reply, ResponseCode::nxDomain))
        onFailure(question, codeName(reply.code));
    else if (question.type == RecordType::srv)
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
    sortServers(records);
    const std::string domain = domainOf(currentName);
    for (const auto &srv : srvs)
        resolveTarget(srv.target, reply, domain);
    finishIfResolved();
}

// Follows the aliases in a reply, which may hold a whole chain in any order. Returns false after
// failing the lookup for a loop or a chain that is too long.
bool Lookup::followAliases(const Message &reply) {
    while (const Record *record = aliasOf(reply, currentName)) {
        const std::string &target = std::get<Cname>(record->data).target;
        if (!aliasChain.insert(target).second) {
            fail("alias loop");
            return false;
        }
        if (aliasChain.size() > bounds.aliases + 1) {
            fail("alias chain too long");
            return false;
        }
        currentName = target;
        boundLifetime(record->ttlSeconds);
    }
    return true;
}

Lookup::SrvRecords Lookup::collectServers(const Message &reply) {
    SrvRecords records;
    for (const auto &record : reply.answers) {
        const auto *srv = std::get_if<Srv>(&record.data);
        if (!srv || record.owner != currentName)
            continue;
        ++records.count;
        boundLifetime(record.ttlSeconds);
        if (srv->target == ".")
            records.notOffered = true;
        else if (srv->port == 0)
            found.notes.push_back(srv->target + ": port 0 is not valid; record ignored");
        else
            addServer(*srv, records.servers);
    }
    return records;
}

void Lookup::addServer(const Srv &srv, std::map<HostPort, Srv> &servers) {
    const auto [entry, isNew] = servers.try_emplace({srv.target, srv.port}, srv);
    if (isNew || entry->second == srv)
        return;
    found.notes.push_back(srv.target + ": listed twice; using the record with the lower "
                                       "priority value, then the greater weight");
    if (hasPrecedence(srv, entry->second))
        entry->second = srv;
}

void Lookup::onNoServers(const Question &question, const Message &reply) {
    const bool noName = hasCode(reply, ResponseCode::nxDomain);
    // The end of an alias may be in a zone that this server does not serve, so it is queried for by
    // its own name. An empty reply to that question is a negative answer.
    if (!noName && currentName != question.name && reply.authority.empty()) {
        pendingQuestions.push_back({currentName, RecordType::srv});
        return;
    }
    boundLifetime(negativeTtlSeconds(reply));
    finishWith(noName ? LookupOutcome::noName : LookupOutcome::noData);
}

void Lookup::sortServers(const SrvRecords &records) {
    if (records.notOffered)
        found.notes.emplace_back("target \".\" among other targets: ignored");
    for (const auto &[entry, srv] : records.servers)
        srvs.push_back(srv);
    std::ranges::sort(srvs, {},
                      [](const Srv &srv) { return std::tie(srv.priority, srv.target, srv.port); });
    if (srvs.size() > bounds.targets) {
        found.notes.push_back(std::to_string(srvs.size() - bounds.targets) +
                              " targets over the limit left out");
        srvs.resize(bounds.targets);
    }
}

// Takes the addresses of a target from the reply or the cache, or adds a question for them.
void Lookup::resolveTarget(const std::string &target, const Message &reply,
                           const std::string &domain) {
    if (resolved.contains(target) || pendingTargets.contains(target))
        return;
    CachedAddresses additional;
    if (within(target, domain)) {
        additional = addressesOf(reply.additional, target, true);
        if (additional.addresses.empty())
            additional = addressesOf(reply.additional, target, false);
    }
    const auto cachedEntry = cached.find(target);
    if (!additional.addresses.empty()) {
        storeAddresses(target, std::move(additional.addresses), additional.ttlSeconds);
    } else if (cachedEntry != cached.end() && cachedEntry->second.ttlSeconds > 0) {
        storeAddresses(target, cachedEntry->second.addresses, cachedEntry->second.ttlSeconds);
    } else {
        pendingTargets.insert(target);
        pendingQuestions.push_back({target, RecordType::a});
    }
}

void Lookup::onAddressReply(const Question &question, const Message &reply) {
    auto received = addressesOf(reply.answers, question.name, question.type == RecordType::a);
    if (const Record *alias = aliasOf(reply, question.name)) {
        found.notes.push_back(question.name +
                              ": is an alias; SRV targets must not be aliases (RFC 2782)");
        storeAddresses(question.name, {}, alias->ttlSeconds);
    } else if (!received.addresses.empty()) {
        storeAddresses(question.name, std::move(received.addresses), received.ttlSeconds);
    } else if (question.type == RecordType::a && hasCode(reply, ResponseCode::noError)) {
        pendingQuestions.push_back({question.name, RecordType::aaaa});
    } else {
        found.notes.push_back(question.name + ": has no address");
        storeAddresses(question.name, {}, negativeTtlSeconds(reply));
    }
    finishIfResolved();
}

void Lookup::storeAddresses(const std::string &target, std::vector<asio::ip::address> addresses,
                            std::uint32_t seconds) {
    std::ranges::sort(addresses);
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    if (addresses.size() > bounds.addresses) {
        found.notes.push_back(target + ": addresses over the limit left out");
        addresses.resize(bounds.addresses);
    }
    pendingTargets.erase(target);
    resolved[target] = {std::move(addresses), seconds};
}

void Lookup::resolveFromCache(const std::string &target, const std::string &why) {
    const auto cachedEntry = cached.find(target);
    if (cachedEntry != cached.end() && !cachedEntry->second.addresses.empty()) {
        found.notes.push_back(target + ": " + why + "; using expired addresses");
        storeAddresses(target, cachedEntry->second.addresses, 0);
    } else {
        // Unlike a target that has no address, this one may still have one.
        found.unresolved.push_back(target);
        found.notes.push_back(target + ": " + why);
        storeAddresses(target, {}, 0);
    }
    finishIfResolved();
}

void Lookup::fail(const std::string &why) {
    found.fault = why;
    finishWith(LookupOutcome::failed);
}

void Lookup::finishWith(LookupOutcome outcome) {
    found.outcome = outcome;
    done = true;
}

void Lookup::finishIfResolved() {
    if (done || !pendingTargets.empty())
        return;
    for (const auto &srv : srvs) {
        const auto &entry = resolved.at(srv.target);
        boundLifetime(entry.ttlSeconds);
        if (!entry.addresses.empty())
            found.targets.push_back({srv, entry.addresses});
    }
    std::ranges::sort(found.unresolved);
    if (found.targets.empty() && !found.unresolved.empty())
        fail("no address of any target could be resolved");
    else
        finishWith(LookupOutcome::servers);
}

void Lookup::boundLifetime(std::uint32_t seconds) {
    found.ttlSeconds = std::min(found.ttlSeconds, seconds);
}

AddressCache Lookup::addresses() const {
    AddressCache out;
    for (const auto &[target, entry] : resolved)
        if (!entry.addresses.empty())
            out.emplace(target, entry);
    return out;
}

}  // namespace deckcart::dns
