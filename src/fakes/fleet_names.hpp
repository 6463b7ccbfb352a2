// The fleet of a rehearsed day as SRV records: name servers of each gateway's own, so that what a
// gateway was told, and when, is known. A name for each build and zone.
#pragma once

#include <set>

#include "../scenarios/invariant_checker.hpp"
#include "../scenarios/scenario.hpp"
#include "name_server.hpp"

namespace deckcart::fakes {

class FleetNames {
  public:
    struct Listed {
        EndpointId id;
        BuildNumber build = 0;
        std::string zone;
    };
    FleetNames(asio::io_context &context, const scenarios::Scenario &day, const Clock &clock,
               scenarios::Records &records, std::uint32_t seed);

    // Of one gateway, HOST:PORT.
    std::vector<std::string> addresses(int gateway) const;
    void serve(std::vector<Listed> now);

    void misbehave(std::size_t server, const NameFaults &faults);  // that server of each gateway
    void freeze(std::size_t server, bool on);  // it goes on with the records of now

  private:
    std::vector<dns::Record> recordsOf(const std::vector<Listed> &fleet) const;
    void told(int gateway, const dns::Message &reply);

    const scenarios::Scenario &day;
    const Clock &clock;
    scenarios::Records &records;
    std::vector<std::vector<std::unique_ptr<NameServer>>> servers;  // by gateway
    std::vector<Listed> fleet;
    std::set<std::size_t> frozen;
    // What each gateway knows by its replies: since when an instance is missing, if it is.
    struct Seen {
        bool any = false;
        std::map<EndpointId, std::optional<Duration>> missing;
    };
    std::map<std::pair<int, std::string>, Seen> seen;
};

}  // namespace deckcart::fakes
