// The fleet of a scenario run as SRV records, with one name for each build and zone. Each gateway
// has name servers of its own, so that it is known when a gateway was told what.
#pragma once

#include <set>

#include "../scenarios/invariant_checker.hpp"
#include "../scenarios/scenario.hpp"
#include "name_server.hpp"

namespace deckcart::fakes {

/// The name servers of all gateways.
class FleetNames {
  public:
    /// An endpoint that has a record.
    struct ListedEndpointRecord {
        EndpointId id;
        BuildNumber build = 0;
        std::string zone;
    };
    FleetNames(asio::io_context &context, const scenarios::Scenario &scenario, const Clock &clock,
               scenarios::Records &records, std::uint32_t seed);

    /// The name servers of one gateway, as HOST:PORT.
    std::vector<std::string> addresses(int gateway) const;
    /// Replaces the records of all name servers that are not frozen.
    void serve(std::vector<ListedEndpointRecord> listed);

    /// Sets the faults of the name server with this index of each gateway.
    void setFaults(std::size_t server, const NameFaults &faults);
    /// While set, the name server with this index of each gateway keeps its current records.
    void freeze(std::size_t server, bool on);

  private:
    std::vector<dns::Record> recordsOf(const std::vector<ListedEndpointRecord> &fleet) const;
    void recordReply(int gateway, const dns::Message &reply);

    const scenarios::Scenario &scenario;
    const Clock &clock;
    scenarios::Records &records;
    std::vector<std::vector<std::unique_ptr<NameServer>>> servers;  // by gateway
    std::vector<ListedEndpointRecord> fleet;
    std::set<std::size_t> frozen;
    // What the replies for one name told a gateway; `missing`: since when an endpoint is left out,
    // or nullopt while it is listed, or Duration::max() once its draining is recorded.
    struct KnownByReplies {
        bool anyReply = false;
        std::map<EndpointId, std::optional<Duration>> missing;
    };
    std::map<std::pair<int, std::string>, KnownByReplies> knownReplies;
};

}  // namespace deckcart::fakes
