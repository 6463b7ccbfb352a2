// The lookup of one SRV name: which questions to send and how to interpret the replies (RFC 2782,
// RFC 2308, aliases by RFC 1034, 3.6.2). Driven by the resolver. Pure: no socket, no clock.
#pragma once

#include <map>
#include <set>
#include <tuple>

#include "../base/clock.hpp"
#include "message.hpp"

namespace deckcart::dns {

/// Limits of one lookup, which bound the work that a hostile or misconfigured zone can cause.
struct LookupBounds {
    /// Servers of a name; further ones are left out, with a note.
    std::size_t targets = 1024;
    /// Length of a chain of aliases from the service name; a longer one fails the lookup.
    std::size_t aliases = 8;
    /// Addresses of one target; further ones are left out, with a note.
    std::size_t addresses = 8;
};

struct Target {
    Srv srv;
    std::vector<asio::ip::address> addresses;  // sorted; IPv4 only, or IPv6 if there is no IPv4
};

enum class LookupOutcome {
    servers,
    noData,      // the name exists, without usable SRV records
    noName,      // the name does not exist
    notOffered,  // the only target is ".": the service is explicitly not offered (RFC 2782)
    failed       // no usable reply
};
/// The name of the outcome in logs.
[[nodiscard]] const char *nameOf(LookupOutcome outcome);

/// The result of a lookup.
struct LookupResult {
    LookupOutcome outcome = LookupOutcome::failed;
    std::vector<Target> targets;  // by priority, name, port
    /// The least TTL of all records used, in seconds. For a negative answer the lesser of the SOA
    /// record's TTL and its MINIMUM (RFC 2308, 5), or 0 without an SOA record. Not clamped.
    std::uint32_t ttlSeconds = 0;
    /// Targets for whose address no server gave a usable reply: they may still have one.
    std::vector<std::string> unresolved;
    /// Records that were ignored or replaced, with the reason.
    std::vector<std::string> notes;
    /// Why the lookup failed; set for LookupOutcome::failed.
    std::string fault;
};

/// Addresses of a target from an earlier lookup. They save a question while they are valid, and
/// replace a reply that could not be had.
struct CachedAddresses {
    std::vector<asio::ip::address> addresses;
    /// Remaining TTL. 0: expired, used only if a question fails (RFC 8767).
    std::uint32_t ttlSeconds = 0;
};
/// By target name.
using AddressCache = std::map<std::string, CachedAddresses>;

/// The cache with its TTLs reduced by `passed`. Without the cache, each lookup at a site of 300
/// servers would send 300 address questions.
[[nodiscard]] AddressCache aged(AddressCache cache, Duration passed);

/// One lookup of an SRV name. Call takeQuestions(), then onReply() or onFailure() once for each
/// question, and repeat until finished().
class Lookup {
  public:
    explicit Lookup(std::string name, AddressCache cached = {}, LookupBounds bounds = {});

    /// Questions to send now; each is returned once. Empty and not finished: replies are
    /// outstanding.
    std::vector<Question> takeQuestions();
    /// Handles the reply to a question. The caller has checked that its id and question match.
    void onReply(const Question &question, const Message &reply);
    /// No server gave a usable reply.
    void onFailure(const Question &question, const std::string &why);
    [[nodiscard]] bool finished() const { return done; }
    /// Valid once finished.
    [[nodiscard]] const LookupResult &result() const { return found; }
    /// The addresses found, as the cache for the next lookup.
    [[nodiscard]] AddressCache addresses() const;

  private:
    // Identifies a server: two records with the same target and port are one server.
    struct HostPort {
        std::string target;
        std::uint16_t port = 0;
        bool operator<(const HostPort &other) const {
            return std::tie(target, port) < std::tie(other.target, other.port);
        }
    };
    struct SrvRecords {
        std::map<HostPort, Srv> servers;
        bool notOffered = false;  // there is a target "."
        std::size_t count = 0;
    };

    void onSrvReply(const Question &question, const Message &reply);
    [[nodiscard]] bool followAliases(const Message &reply);
    SrvRecords collectServers(const Message &reply);
    void addServer(const Srv &srv, std::map<HostPort, Srv> &servers);
    void onNoServers(const Question &question, const Message &reply);
    void sortServers(const SrvRecords &records);
    void resolveTarget(const std::string &target, const Message &reply, const std::string &domain);
    void onAddressReply(const Question &question, const Message &reply);
    void storeAddresses(const std::string &target, std::vector<asio::ip::address> addresses,
                        std::uint32_t seconds);
    void resolveFromCache(const std::string &target, const std::string &why);
    void fail(const std::string &why);
    void finishWith(LookupOutcome outcome);
    void finishIfResolved();
    void boundLifetime(std::uint32_t seconds);

    std::string currentName;  // the service name, or the end of its aliases so far
    AddressCache cached;
    LookupBounds bounds;
    std::set<std::string> aliasChain;  // including the service name
    std::vector<Question> pendingQuestions;
    std::vector<Srv> srvs;
    std::set<std::string> pendingTargets;  // targets with an outstanding address question
    AddressCache resolved;                 // targets without an address have an empty entry
    bool done = false;
    LookupResult found;
};

/// The domain of a service name: what follows its leading labels with an underscore. Addresses in
/// the additional section of a reply are trusted only for names within it; those of other names are
/// queried for.
[[nodiscard]] std::string domainOf(const std::string &serviceName);

}  // namespace deckcart::dns
