// From one SRV name to its servers: which questions to ask and what the replies mean (RFC 2782, RFC
// 2308, aliases by RFC 1034, 3.6.2). Pure: no socket, no clock.
#pragma once

#include <map>
#include <set>

#include "message.hpp"

namespace deckcart::dns {

using Duration = std::chrono::microseconds;

struct LookupBounds {
    std::size_t targets = 1024;  // servers of a name; further ones are left out, with a note
    std::size_t aliases = 8;     // of the name, one after the other; a longer chain is a fault
    std::size_t addresses = 8;   // of one target; further ones are left out, with a note
};

struct Target {
    Srv srv;
    std::vector<asio::ip::address> addresses;  // sorted; those of version 4 if there is one
};

enum class FoundKind {
    servers,
    noData,      // the name is there, without such records
    noName,      // the name is not there
    notOffered,  // the one target "." : decidedly no such service (RFC 2782)
    failed       // nothing was learned
};
const char *nameOf(FoundKind kind);

struct Found {
    FoundKind kind = FoundKind::failed;
    std::vector<Target> targets;  // by priority, name, port
    // The least of all records that led here; of a negative answer the lesser of SOA's lifetime and
    // MINIMUM (RFC 2308, 5), 0 where there is no SOA. Not clamped.
    std::uint32_t seconds = 0;
    std::vector<std::string>
        unresolved;  // targets whose address no server told: nothing is known of them
    std::vector<std::string> notes;  // what was left out, and why
    std::string fault;               // of failed
};

// Addresses that an earlier lookup found, with what is left of their lifetime; used instead of
// asking, and where asking fails.
struct KnownAddresses {
    std::vector<asio::ip::address> addresses;
    std::uint32_t seconds = 0;  // 0: out of date, for failures only (RFC 8767)
};

// What is left of their lifetimes: asking for each target at each turn would be 300 questions.
std::map<std::string, KnownAddresses> aged(std::map<std::string, KnownAddresses> known,
                                           Duration passed);

class Lookup {
  public:
    Lookup(std::string name, std::map<std::string, KnownAddresses> known = {},
           LookupBounds bounds = {});

    // Questions to be asked now, each given out once. Empty and not over: replies are still out.
    std::vector<Question> ask();
    // The reply to one of them: its id and question are already found to match.
    void replied(const Question &question, const Message &reply);
    void failed(const Question &question, const std::string &why);
    bool over() const { return done; }
    const Found &found() const { return result; }
    // Addresses by target, for the next lookup.
    std::map<std::string, KnownAddresses> addresses() const;

  private:
    void servers(const Question &question, const Message &reply);
    void addressReply(const Question &question, const Message &reply);
    void settle(const std::string &target, std::vector<asio::ip::address> addresses,
                std::uint32_t seconds);
    void noAddress(const std::string &target, const std::string &why);
    void finish();
    void least(std::uint32_t seconds) { result.seconds = std::min(result.seconds, seconds); }

    std::string name, at;  // as asked for, and where aliases have led
    std::map<std::string, KnownAddresses> known;
    LookupBounds bounds;
    std::set<std::string> passed;  // names of the chain
    std::vector<Question> toAsk;
    std::vector<Srv> srvs;
    std::set<std::string> open;  // targets whose addresses are asked for
    std::map<std::string, KnownAddresses> settled;
    bool done = false;
    Found result;
};

// The domain of a service name: what stands behind its labels with an underscore. Addresses that
// come along with a reply are believed for names within it only; others are asked for.
std::string domainOf(const std::string &serviceName);

}  // namespace deckcart::dns
