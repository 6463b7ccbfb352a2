// Decodes the simulator's batches of events, one JSON document per line. The protocol is described
// in the users' WIRE page.
#pragma once

#include <deckcart/policy.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace deckcart::simulator {

/// The events of one gateway, in order of occurrence.
struct GatewayEvents {
    GatewayId gateway = 0;
    std::vector<Event> events;
};

/// The events of all gateways at one point in time.
struct Batch {
    TimePoint now{};
    std::vector<GatewayEvents> gateways;  ///< in the order of their first events
};

/// Decodes the lines of one simulation. Has to see all lines in order, because later lines refer to
/// endpoint lists of earlier ones.
class EventReader {
  public:
    /// Decodes one line.
    /// @throws MalformedInput with the name of the invalid field
    [[nodiscard]] Batch read(const std::string &line);

  private:
    using EndpointLists = std::map<std::int64_t, std::vector<EndpointEntry>>;

    void readList(const nlohmann::json &message);
    [[nodiscard]] Event readListUpdate(const nlohmann::json &message) const;
    void readEvent(const std::string &kind, const nlohmann::json &message,
                   std::vector<Event> &events) const;

    EndpointLists listsByNumber;  // by number; a list replaces an earlier one of the same number
};

}  // namespace deckcart::simulator
