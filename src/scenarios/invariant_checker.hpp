// Checks the five rules of the gateway against what clients, endpoints and the control plane saw at
// their sockets. What a gateway says about itself is not used. A pure function: records in,
// violations out.
#pragma once

#include <deckcart/policy.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace deckcart::scenarios {

/// How a client's request ended, as the client saw it.
enum class ClientEnd {
    none,       ///< no response until the client gave up
    completed,  ///< a response that the gateway marks as completed
    shed,       ///< rejected by the gateway to shed load
    errored,    ///< any other response
    cut,        ///< the connection ended before a complete response
    unreached   ///< no part of the request was sent
};

/// One request of a client to a gateway; a retry by the client is another record. All times of a
/// run are on one clock.
struct ClientRecord {
    std::string requestId;       ///< unique; the gateway forwards it with each attempt
    int route = 0, gateway = 0;  ///< indexes into the scenario's lists
    std::string key;             ///< affinity key; empty: none
    Duration sent{};             ///< when it was handed to the connection; zero: never
    Duration givesUp{};          ///< when the client stops waiting
    Duration answered{};         ///< when the response came; zero: never
    ClientEnd end = ClientEnd::none;
    int answers = 0;        ///< final responses received
    BuildNumber build = 0;  ///< build that the endpoint names in its response; 0: none
};

/// One attempt, as the endpoint saw it.
struct EndpointRecord {
    std::string requestId;
    EndpointId endpoint;
    int zone = 0, cell = 0;
    BuildNumber build = 0;
    Duration receivedAt{};
    bool mayHaveRun = true;  ///< false: rejected before processing, and the response said so
};

/// What the control plane told a gateway about one endpoint.
struct EndpointNotification {
    int gateway = 0;
    Duration at{};
    EndpointId endpoint;
    BuildNumber build = 0;
    EndpointState state = EndpointState::active;
    bool startedNow = false;  ///< it shows that the endpoint started recently
};
/// What the control plane told a gateway about the rollout.
struct RolloutNotification {
    int gateway = 0;
    Duration at{};
    BuildNumber build = 0;
    int step = 0;
    RolloutPhase phase = RolloutPhase::canary;
    double exposureLimit = 0;
};
/// An endpoint that crashed during its warm-up because it received more load in this window than
/// the rule allows.
struct OverloadedEndpoint {
    EndpointId endpoint;
    Duration from{}, until{};
};
/// killed: the process ended and was started again; stopped: it stood still and went on.
enum class HaltKind { killed, stopped };
/// A time in which a gateway could not run.
struct GatewayHalt {
    int gateway = 0;
    HaltKind kind = HaltKind::killed;
    Duration from{}, until{};  ///< until: when it runs again
};

/// Everything that was seen during one scenario run.
struct Records {
    std::vector<ClientRecord> clients;
    std::vector<EndpointRecord> instances;
    std::vector<EndpointNotification> endpoints;
    std::vector<RolloutNotification> releases;
    std::vector<OverloadedEndpoint> overloadedEndpoints;
    std::vector<GatewayHalt> halts;
};

/// The settings that the rules depend on.
struct RuleParameters {
    std::vector<Route> routes;
    Duration
        drainGrace{};  ///< after a notification, the earlier one may still be applied this long
    double exposureAllowance = 0;  ///< attempts allowed on top of the exposure limit
    Duration exposureWindow{};
    bool exposurePerRoute = false, stickyKeys = false;
    double firstExposureLimit = 0;  ///< for a canary that no notification has named yet
    int idempotentOnlyStages = 0;   ///< number of first stages without non-idempotent requests
    BuildNumber firstBuild = 0;  ///< later builds are canaries until a notification says otherwise
    /// Events closer than this count as simultaneous, because sockets of two processes see one
    /// event at different times. It exceeds the delay between two processes of a busy machine; a
    /// violation shorter than it is not detected.
    Duration slack = std::chrono::milliseconds(100);
};

/// The rules, with their numbers in reports.
enum class Rule { oneAnswer = 1, noEffectTwice, drains, slowStart, exposure };
/// The rule as a phrase for reports.
const char *nameOf(Rule rule);

/// One violation of a rule.
struct Violation {
    Rule rule = Rule::oneAnswer;
    std::string requestId;  ///< for Rule::slowStart: the endpoint
    Duration at{};
    std::string words;  ///< description for people
};

/// All violations by time. Throws std::invalid_argument when two client records share an id.
std::vector<Violation> audit(const Records &records, const RuleParameters &parameters);

/// Times are written as microseconds.
nlohmann::json toJson(const Records &records);
/// Throws std::invalid_argument or a JSON exception that names the field.
Records readRecords(const nlohmann::json &document);

}  // namespace deckcart::scenarios
