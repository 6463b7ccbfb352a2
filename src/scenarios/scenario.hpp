// A fault scenario as a document: the gateways and endpoints, the traffic, a rollout and the faults
// that are injected. The notation is described in docs/operate/scenarios.md; times in it are
// milliseconds since the start of the scenario.
#pragma once

#include <deckcart/policy.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "../base/schema.hpp"

namespace deckcart::scenarios {

/// A route and the traffic on it.
struct ScenarioRoute {
    std::string name, method;
    Route rule;
    Duration routeTimeout{};
    /// share: weight of its part of all requests; benefit: weight of one request in the service.
    double share = 1, benefit = 1;
    double minWorkMs = 5, maxWorkMs = 10;  ///< processing time on one core of an endpoint
};

/// How a canary build is faulty.
enum class BuildFault {
    none,
    fails,         ///< responds with errors
    slow,          ///< needs more time for each request
    slowWhenBusy,  ///< slow while all cores are busy, responds with errors while its queue is long
    failsLater,    ///< responds with errors some time after the start of each endpoint
    incorrectResponses,  ///< gives incorrect responses
    slowsAllBuilds  ///< slows the endpoints of both builds, in proportion to the canary's part of
                    ///< the traffic
};
/// The fault of the canary build.
struct FaultyBuild {
    BuildFault kind = BuildFault::none;
    int route = -1;            ///< affected route; -1: all
    double fraction = 0.5;     ///< fraction of requests that fail or get an incorrect response
    double factor = 3;         ///< factor of the processing time
    Duration faultFreeTime{};  ///< for failsLater: time after each endpoint's start without faults
};

/// Faults of endpoints, the control plane, gateways, clients and name servers.
enum class FaultKind {
    hang,                  ///< endpoints accept requests and send no response
    crash,                 ///< endpoints end and their connections are closed
    drain,                 ///< an operator drains endpoints, which then end
    responsesLost,         ///< endpoints process requests, then reset the connection
    slowConnects,          ///< endpoints accept new connections late
    noisyNeighbor,         ///< endpoints are slower, as on a shared machine
    pauses,                ///< endpoints pause for a short time every second
    allSlow,               ///< all endpoints are slower
    listDelayed,           ///< the control plane sends endpoint list changes late
    listFails,             ///< the control plane's list and watch requests fail
    votesUnanswered,       ///< the control plane does not respond to votes
    gatewayKilled,         ///< gateways are killed and started again
    gatewayStalled,        ///< gateways are stopped and continued
    burst,                 ///< clients send more requests
    retryStorm,            ///< clients of the first tenant retry immediately, many times
    lowLoadReports,        ///< endpoints report too little load
    probesFail,            ///< endpoints respond to probes with errors
    nameServersSilent,     ///< `count` name servers of each gateway do not respond
    nameServersLossy,      ///< `count` of them lose a fraction of their replies
    nameServersContradict  ///< the last one keeps serving the records of the fault's start
};

/// One fault with its time and extent.
struct InjectedFault {
    FaultKind kind = FaultKind::hang;
    Duration at{}, duration{};  ///< since the start of the scenario; how long
    int count = 1;              ///< affected endpoints, gateways or name servers
    std::string target;     ///< affected endpoints: "any", "trial" (canary) or "earlier" (baseline)
    double factor = 2;      ///< factor of slowness or load; for listDelayed: seconds
    double fraction = 0.5;  ///< fraction of responses or replies that are lost
    bool votesCount = false;  ///< for votesUnanswered: the votes count nevertheless
};

/// A fault scenario; values that the document leaves out have their defaults.
struct Scenario {
    std::string name, description;
    Duration duration{};
    std::uint64_t seed = 1;
    std::vector<double> gatewayWeights;  ///< one per gateway: weight of its part of the traffic
    /// Number of gateways in the settings; those without a weight do not run.
    int configuredGatewayCount = 1;
    /// Endpoints of a full fleet; cores of each, and requests that each queues before it rejects.
    int endpointCount = 8, cores = 2, queueLimit = 64;
    std::vector<std::string> zones;
    double initialCapacity = 0.4, overloadMultiple = 3;
    Duration warmUpTime{}, overloadWindow{};
    double requestsPerSecond = 100;
    int keyCount = 500, maxRetries = 1;
    double minPatience = 0.6;  ///< minimum wait of a client as a fraction of the route timeout
    /// Name servers of each gateway, which publish the fleet as SRV records; 0: the control plane
    /// publishes it as a list.
    int nameServers = 0;
    Duration recordLifetime{}, confirmAfter{};
    std::vector<std::string> tenants;
    std::vector<double> tenantQuotas;
    std::vector<ScenarioRoute> routes;
    // rollout
    std::optional<Duration> rolloutAt;
    nlohmann::json release;  ///< the object /release of the gateways' settings
    std::vector<double> exposureLimits, stageShares;
    double exposureAllowance = 2;
    Duration exposureWindow{}, voteLifetime{}, minStageDuration{}, drainGrace{},
        minNotificationDelay{}, maxNotificationDelay{};
    bool exposurePerRoute = false, stickyKeys = false, inPlace = false;
    int idempotentOnlyStages = 0, votesToRollBack = 1, votesToPromote = 2;
    double incorrectReportRate = 0;
    FaultyBuild buildFault;
    bool usageReports = false;
    int maxAttempts = 4;
    bool hedgingAllowed = false;
    bool shouldRelease = true;  ///< whether the canary is expected to be released at the end
    std::vector<InjectedFault> injectedFaults;
    nlohmann::json allowed;  ///< the object /allowed of the settings

    /// Index of the route; -1: no such route.
    int routeIndex(const std::string &name) const;
};

/// `day` is set where nothing was refused.
struct ParsedScenario {
    std::optional<Scenario> day;
    std::vector<ValidationError> refused;
};
/// JSON schema of a scenario document.
const nlohmann::json &scenarioSchema();
ParsedScenario parseScenario(const nlohmann::json &document);
/// The settings document of one gateway. `nameServers`: addresses of the gateway's name servers;
/// empty where the scenario has none.
nlohmann::json settingsOf(const Scenario &scenario, int gateway,
                          const std::string &controlPlaneAddress,
                          const std::vector<std::string> &nameServers = {});
/// The name of the SRV records of a build in a zone.
std::string srvNameOf(BuildNumber build, const std::string &zone);

}  // namespace deckcart::scenarios
