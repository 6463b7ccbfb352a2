// The wire: JSON lines to the module's types and back. No decisions here.
#pragma once

#include <deckcart/policy.hpp>
#include <iosfwd>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace deckcart::simulator {

// A line that is not a batch; the text names the field.
struct BadBatch : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Happened {
    GatewayId who = 0;
    std::vector<Event> events;
};
struct Batch {
    Duration now{};
    std::vector<Happened> instances;  // in the order of each one's first event
};

// The settings that an instance is born with, as a real gateway finds them as well: what the module
// starts with, and what a data path needs beside that.
struct DeploymentSettings {
    PolicySettings start;
    std::vector<std::string> routes, tenants, zones;  // names, in the order of the module's numbers
    std::vector<Duration> routeTimeouts;
    std::vector<std::string> loadFields;  // of a load report, in order
    Duration keptIdle{};                  // connections to instances: closed when idle for so long
    Duration connectWithin{};
    std::size_t maxRequestsInFlight = 0;

    Duration longestTimeout() const;
};
// Throws BadBatch, which names the field.
DeploymentSettings readSettings(const nlohmann::json &settings, std::uint64_t seed);

class Reader {
  public:
    Batch read(const std::string &line);

  private:
    std::map<std::int64_t, std::vector<EndpointEntry>>
        lists;  // by number; a new one supersedes the old
};

nlohmann::json write(GatewayId who, const Action &action);

// Reads batches until the end of input, one reply a line; returns the exit status.
int serve(std::istream &in, std::ostream &out, std::ostream &err);

}  // namespace deckcart::simulator
