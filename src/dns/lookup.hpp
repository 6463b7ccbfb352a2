// From one SRV name to its servers: which questions to send and what the replies mean (RFC 2782,
// RFC 2308, aliases by RFC 1034, 3.6.2). Driven by the resolver. Pure: no socket, no clock.
#pragma once

#include <map>
#include <set>
#include <tuple>

#include "../base/clock.hpp"
#include "message.hpp"

namespace deckcart::dns {

/// Bounds of one lookup, against names that grow without end.
struct LookupBounds {
    /// Servers of a name; further ones are left out, with a note.
    std::size_t targets = 1024;
    /// Of the name, one after the other; a longer chain is a fault.
    std::size_t aliases = 8;
    /// Of one target; further ones are left out, with a note.
    std::size_t addresses = 8;
};

struct Target {
    Srv srv;
    std::vector<asio::ip::address> addresses;  // sorted; those of version 4 if there is one
};

enum class LookupOutcome {
    servers,
    noData,      // the name is there, without such records
    noName,      // the name is not there
    notOffered,  // the one target "." : decidedly no such service (RFC 2782)
    failed       // nothing was learned
};
/// As logs write it.
[[nodiscard]] const char *nameOf(LookupOutcome kind);

/// The result of a lookup.
struct Found {
    LookupOutcome kind = LookupOutcome::failed;
    std::vector<Target> targets;  // by priority, name, port
    /// The least lifetime of all records that led here; of a negative answer the lesser of SOA's
    /// lifetime and MINIMUM (RFC 2308, 5), 0 where there is no SOA. Not clamped.
    std::uint32_t seconds = 0;
    /// Targets whose address no server gave: nothing is known of them.
    std::vector<std::string> unresolved;
    /// What was left out, and why.
    std::vector<std::string> notes;
    /// Of LookupOutcome::failed.
    std::string fault;
};

/// Addresses that an earlier lookup found; used instead of a question, and where one fails.
struct CachedAddresses {
    std::vector<asio::ip::address> addresses;
    /// What is left of their lifetime. 0: out of date, for failures only (RFC 8767).
    std::uint32_t seconds = 0;
};
/// By the target's name.
using AddressCache = std::map<std::string, CachedAddresses>;

/// The cache as it is after this time: a question for each target at each turn would be 300.
[[nodiscard]] AddressCache aged(AddressCache cache, Duration passed);

/// One lookup of an SRV name. Alternate takeQuestions() with a call of onReply() or onFailure()
/// for each question, until finished().
class Lookup {
  public:
    explicit Lookup(std::string name, AddressCache cached = {}, LookupBounds bounds = {});

    /// Questions to be sent now, each given out once. Empty and not finished: replies are still
    /// awaited.
    std::vector<Question> takeQuestions();
    /// The reply to one of them: its id and question are already found to match.
    void onReply(const Question &question, const Message &reply);
    /// No server gave a reply of use.
    void onFailure(const Question &question, const std::string &why);
    [[nodiscard]] bool finished() const { return done; }
    /// Once finished.
    [[nodiscard]] const Found &result() const { return found; }
    /// The addresses of this lookup, for the next one.
    [[nodiscard]] AddressCache addresses() const;

  private:
    // A server has its place by these: two records with the same are one server.
    struct HostPort {
        std::string target;
        std::uint16_t port = 0;
        bool operator<(const HostPort &other) const {
            return std::tie(target, port) < std::tie(other.target, other.port);
        }
    };
    struct SrvRecords {
        std::map<HostPort, Srv> servers;
        bool notOffered = false;  // target "."
        std::size_t count = 0;
    };

    void onSrvReply(const Question &question, const Message &reply);
    [[nodiscard]] bool followAliases(const Message &reply);
    SrvRecords collectServers(const Message &reply);
    void addServer(const Srv &srv, std::map<HostPort, Srv> &servers);
    void onNoServers(const Question &question, const Message &reply);
    void takeServers(const SrvRecords &records);
    void resolveTarget(const std::string &target, const Message &reply, const std::string &domain);
    void onAddressReply(const Question &question, const Message &reply);
    void settle(const std::string &target, std::vector<asio::ip::address> addresses,
                std::uint32_t seconds);
    void settleWithoutReply(const std::string &target, const std::string &why);
    void fail(const std::string &why);
    void finishWith(LookupOutcome kind);
    void finishIfResolved();
    void boundLifetime(std::uint32_t seconds);

    std::string aliasEnd;  // the name asked for, or where its aliases have led
    AddressCache cached;
    LookupBounds bounds;
    std::set<std::string> aliasChain;  // with the name asked for
    std::vector<Question> pendingQuestions;
    std::vector<Srv> srvs;
    std::set<std::string> unsettled;  // targets whose addresses are asked for
    AddressCache settled;
    bool done = false;
    Found found;
};

/// The domain of a service name: what stands behind its labels with an underscore. Addresses that
/// come along with a reply are believed for names within it only; others are asked for.
[[nodiscard]] std::string domainOf(const std::string &serviceName);

}  // namespace deckcart::dns
