// Batches of events, one JSON line each, as the simulator writes them (WIRE page of the users).
#pragma once

#include <deckcart/policy.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace deckcart::simulator {

/// What happened to one gateway, in order.
struct GatewayEvents {
    GatewayId gateway = 0;
    std::vector<Event> events;
};

/// What happened at one time.
struct Batch {
    TimePoint now{};
    std::vector<GatewayEvents> gateways;  ///< in the order of each one's first event
};

/// Reads the lines of one simulation in order: later lines refer to endpoint lists of earlier ones.
class EventReader {
  public:
    /// @throws MalformedInput with the field at fault
    [[nodiscard]] Batch read(const std::string &line);

  private:
    using EndpointLists = std::map<std::int64_t, std::vector<EndpointEntry>>;

    void readList(const nlohmann::json &message);
    [[nodiscard]] Event readListUpdate(const nlohmann::json &message) const;
    void readEvent(const std::string &kind, const nlohmann::json &message,
                   std::vector<Event> &events) const;

    EndpointLists lists;  // by number; a new one replaces the old
};

}  // namespace deckcart::simulator
