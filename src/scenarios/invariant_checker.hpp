// The auditor: judges the five rules from what clients, instances and the control plane saw at
// their sockets, never from a gateway's own word. Pure: records in, violations out.
#pragma once

#include <deckcart/policy.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace deckcart::scenarios {

// How a client's try ended, as the client saw it.
enum class ClientEnd { none, completed, shed, errored, cut, unreached };

// One try of a client at a gateway. All times are on one clock.
struct ClientRecord {
    std::string requestId;  // its id, carried on every upstream try
    int route = 0, gateway = 0;
    std::string key;
    Duration sent{};  // the whole of it was handed to the connection; zero: never
    Duration givesUp{};
    Duration answered{};  // zero: never
    ClientEnd end = ClientEnd::none;
    int answers = 0;        // final answers that came
    BuildNumber build = 0;  // that the answer says it is from; told by the instance itself
};

// One upstream try, as an instance saw it.
struct EndpointRecord {
    std::string requestId;
    EndpointId endpoint;
    int zone = 0, cell = 0;
    BuildNumber build = 0;
    Duration received{};
    bool mayHaveRun = true;  // false: turned away unread, with the sign for it
};

struct EndpointNotification {
    int gateway = 0;
    Duration at{};
    EndpointId endpoint;
    BuildNumber build = 0;
    EndpointState state = EndpointState::active;
    bool startedNow = false;  // tells of a start
};
struct RolloutNotification {
    int gateway = 0;
    Duration at{};
    BuildNumber build = 0;
    int step = 0;
    RolloutPhase phase = RolloutPhase::canary;
    double exposureLimit = 0;
};
// A cold instance fell over: it had got more in this window than the rule allows.
struct OverloadedEndpoint {
    EndpointId endpoint;
    Duration from{}, until{};
};
enum class HaltKind { killed, stopped };
struct GatewayHalt {
    int gateway = 0;
    HaltKind kind = HaltKind::killed;
    Duration from{}, until{};  // until it runs again
};

struct Records {
    std::vector<ClientRecord> clients;
    std::vector<EndpointRecord> instances;
    std::vector<EndpointNotification> endpoints;
    std::vector<RolloutNotification> releases;
    std::vector<OverloadedEndpoint> overloadedEndpoints;
    std::vector<GatewayHalt> halts;
};

struct RuleParameters {
    std::vector<Route> routes;
    Duration drainGrace{};
    double exposureAllowance = 0;
    Duration exposureWindow{};
    bool exposurePerRoute = false, stickyKeys = false;
    double firstExposureLimit = 0;
    int idempotentOnlyStages = 0;
    BuildNumber firstBuild = 0;  // builds above it are on trial until told otherwise
    // Two sockets do not see one moment: events this close are not told apart. Over the way between
    // two processes of one busy machine; harm: a breach shorter than it goes unseen.
    Duration slack = std::chrono::milliseconds(100);
};

enum class Rule { oneAnswer = 1, noEffectTwice, drains, slowStart, exposure };
const char *nameOf(Rule rule);

struct Violation {
    Rule rule = Rule::oneAnswer;
    std::string requestId;  // or the instance, where no request is at fault
    Duration at{};
    std::string words;
};

std::vector<Violation> audit(const Records &records, const RuleParameters &parameters);

nlohmann::json toJson(const Records &records);
// Throws std::invalid_argument or a JSON exception that names the field.
Records readRecords(const nlohmann::json &from);

}  // namespace deckcart::scenarios
