// One policy on a virtual clock with endpoints that respond as told, and a record of what crossed,
// which the invariant checker judges by the five rules.
#pragma once

#include <deckcart/policy.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "../../src/scenarios/invariant_checker.hpp"
#include "script_line.hpp"

namespace deckcart::test {

/// How an endpoint responds from now on.
struct EndpointBehavior {
    Outcome outcome = Outcome::ok;
    double responseSeconds = 0.05;
    double failureShare = 0;  ///< of the attempts fail instead, evenly spread
    double droppedShare = 0;  ///< are carried out, but their responses never come
    bool silent = false;
    bool reportsTwice = false;  ///< each result is reported a second time
    double load = 0;            ///< as it answers probes
    int failingRoute = -1;      ///< failures on this route only; -1: any
    int attemptsSeen = 0;
};

struct RequestOptions {
    int route = 0;
    std::string key;
    Duration timeout = std::chrono::seconds(3);
};

class SimulatedGateway {
  public:
    SimulatedGateway();

    PolicySettings settings;  // take effect at start()

    // ---- what happens ----
    void start() { deliver(PolicyStarted{settings}); }
    void stop();
    /// Killed and started again in one batch, with its endpoint list and the last rollout update.
    void restart();
    /// The process stands still: what comes meanwhile is found all at once, by its clock at the
    /// end.
    void stall(Duration length);
    void advance(Duration length) { advanceTo(now + length); }
    void deliver(const Event &event);
    void deliverEndpointList();
    void deliverRollout(const RolloutUpdate &update);
    void request(RequestId id, const RequestOptions &options);
    /// Its attempts are reset, and nothing can connect to it from now on.
    void crash(const EndpointId &id);

    EndpointEntry &endpoint(const EndpointId &id);
    EndpointBehavior &behavior(const EndpointId &id) { return behaviors[id]; }
    [[nodiscard]] TimePoint time() const { return now; }
    [[nodiscard]] const RolloutUpdate &lastRollout() const { return rollout; }
    RequestId nextRequestId = 1000;

    // ---- what was done ----
    /// Actions since the last mark, each in the form of a script line.
    [[nodiscard]] const std::vector<std::string> &actions() const { return log; }
    void mark() { log.clear(); }
    /// @throws ScriptFailure with all violations of the five rules
    void checkInvariants() const;

  private:
    struct Attempt {
        RequestId requestId = 0;
        int number = 0;
        bool operator<(const Attempt &other) const {
            return std::tie(requestId, number) < std::tie(other.requestId, other.number);
        }
    };
    struct Request {
        int route = 0;
        int attempts = 0;
        int finalResponses = 0;
        std::size_t record = 0;  // among the clients' records
    };

    void carryOut(const std::vector<Action> &actions);
    void carryOut(const SendAttempt &action);
    void carryOut(const CancelAttempt &action);
    void carryOut(const ShedRequest &action) { respond(action.requestId, "shed"); }
    void carryOut(const FailRequest &action) { respond(action.requestId, "failed"); }
    void carryOut(const SetTimer &action);
    void carryOut(const ProbeEndpoint &action);
    void carryOut(const WatchEndpoints &) { note("watch"); }
    void carryOut(const Vote &action);
    void carryOut(const LogLine &action) { note("log " + action.message); }

    void note(const std::string &action) { log.push_back(action); }
    void respond(RequestId id, const std::string &word);
    void endAttempt(const Attempt &attempt, Outcome outcome, Duration after);
    void attemptEnded(const Attempt &attempt, Outcome outcome);
    void advanceTo(TimePoint until);
    void recordOverload(const EndpointEntry &target);
    [[nodiscard]] bool isWarm(const EndpointEntry &entry) const;
    [[nodiscard]] double recentAttempts(const EndpointId &id) const;

    Policy policy;
    TimePoint now = seconds(100);
    int incarnation = 0;  // starts of the policy
    RolloutUpdate rollout{};
    std::map<EndpointId, EndpointEntry> endpoints;
    std::map<EndpointId, EndpointBehavior> behaviors;
    std::multimap<TimePoint, std::function<void()>> scheduled;
    std::vector<std::string> log;

    std::map<RequestId, Request> requests;
    std::map<Attempt, EndpointId> sentTo;
    std::map<Attempt, std::size_t> endpointRecord;  // its place among the endpoints' records
    std::set<Attempt> ended;
    std::map<EndpointId, std::vector<TimePoint>> attemptTimes;
    scenarios::Records records;
};

}  // namespace deckcart::test
