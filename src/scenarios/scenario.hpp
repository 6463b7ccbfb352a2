// A day of trouble, as a document: a site, its traffic, a release and what goes wrong. The notation
// is described in docs/operate/scenarios.md; times in it are milliseconds since the day's start.
#pragma once

#include <deckcart/policy.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "../base/schema.hpp"

namespace deckcart::scenarios {

struct ScenarioRoute {
    std::string name, method;
    Route rule;
    Duration routeTimeout{};
    double share = 1, benefit = 1;
    double leastWorkMs = 5, mostWorkMs = 10;  // on one core of an instance
};

enum class BuildFault { none, fails, slow, busy, later, wrong, slowsAll };
// What is wrong with the build on trial.
struct FaultyBuild {
    BuildFault kind = BuildFault::none;
    int route = -1;     // -1: all of them
    double part = 0.5;  // of the requests that fail or are answered wrong
    double times = 3;   // the work that it needs
    Duration after{};   // kind later: sound for so long after each instance's start
};

enum class FaultKind {
    hang,            // instances take requests and answer none
    crash,           // instances die, with their connections
    drain,           // instances are drained by staff and leave
    answersLost,     // instances do the work, then reset the connection
    slowConnects,    // instances take new connections late
    neighbour,       // instances are slower
    pauses,          // instances stop for a moment, again and again
    fleetSlow,       // all instances are slower
    listLate,        // the control plane tells of instances late
    listFails,       // the control plane's list and watch fail
    deskStill,       // the control plane answers no vote
    gatewayKilled,   // gateways are killed and started again
    gatewayStalled,  // gateways stand still
    burst,           // all clients ask for more
    heedless,        // one tenant's clients repeat at once, again and again
    lowReports,      // instances report too little load
    probesFail,      // instances answer probes with errors
    namesSilent,     // so many of each gateway's name servers answer nothing
    namesLossy,      // so many of them lose that part of their answers
    namesContradict  // the last one goes on with the records of that moment
};

struct InjectedFault {
    FaultKind kind = FaultKind::hang;
    Duration at{}, lasts{};
    int count = 1;            // instances or gateways that it hits
    std::string where;        // instances: "any", "trial" or "earlier"
    double times = 2;         // slower, or more requests
    double part = 0.5;        // of the answers that are lost
    bool votesCount = false;  // deskStill: votes that get no answer count
};

struct Scenario {
    std::string name, words;
    Duration lasts{};
    std::uint64_t seed = 1;
    std::vector<double> gatewayWeights;  // parts of the traffic; one a gateway
    int gatewaysTold = 1;                // how many their settings speak of: the others are idle
    int instances = 8, cores = 2, queue = 64;
    std::vector<std::string> zones;
    double initialCapacity = 0.4, overloadMultiple = 3;
    Duration warmUpTime{}, overloadWindow{};
    double requestsPerSecond = 100;
    int keys = 500, retries = 1;
    double leastPatience = 0.6;  // part of the route timeout that a client waits at least
    // The fleet is told by SRV records of so many name servers; 0: by the control plane's list.
    int nameServers = 0;
    Duration recordLifetime{}, confirmAfter{};
    std::vector<std::string> tenants;
    std::vector<double> tenantQuotas;
    std::vector<ScenarioRoute> routes;
    // release
    std::optional<Duration> releaseAt;
    nlohmann::json release;  // what the gateways are told, as /release of their settings
    std::vector<double> caps, shares;
    double exposureAllowance = 2;
    Duration exposureWindow{}, voteLifetime{}, minStageDuration{}, drainGrace{}, leastNewsDelay{},
        mostNewsDelay{};
    bool exposurePerRoute = false, stickyKeys = false, inPlace = false;
    int idempotentOnlyStages = 0, votesToRollBack = 1, toAdvance = 2;
    double incorrectReportRate = 0;
    FaultyBuild bad;
    bool tallies = false;
    int maxAttempts = 4;
    bool hedgingAllowed = false;
    bool shouldRelease = true;  // what staff would expect of the release by the day's end
    std::vector<InjectedFault> injectedFaults;
    nlohmann::json allowed;  // as /allowed of the settings

    int routeNo(const std::string &name) const;  // -1: none
};

struct ParsedScenario {
    std::optional<Scenario> day;
    std::vector<ValidationError> refused;
};
const nlohmann::json &scenarioSchema();
ParsedScenario parseScenario(const nlohmann::json &document);
// The settings document of one of its gateways; its name servers, where the day has some.
nlohmann::json settingsOf(const Scenario &day, int gateway, const std::string &deskAddress,
                          const std::vector<std::string> &nameServers = {});
// The name of the SRV records of a build in a zone.
std::string srvNameOf(BuildNumber build, const std::string &zone);

}  // namespace deckcart::scenarios
