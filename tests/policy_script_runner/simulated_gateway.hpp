// Runs one policy on a simulated clock against endpoints of configured behavior, and records all
// requests, attempts and updates for the invariant checker.
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
    double failureShare = 0;    ///< share of attempts that end in an error, evenly spread
    double droppedShare = 0;    ///< share of attempts that run but whose responses are lost
    bool silent = false;        ///< never responds
    bool reportsTwice = false;  ///< delivers each result a second time
    double load = 0;            ///< reported in reply to probes
    int failingRoute = -1;      ///< the only route that `failureShare` applies to; -1: all routes
    int attemptCount = 0;
};

/// `key` is the session key; empty for none.
struct RequestOptions {
    int route = 0;
    std::string key;
    Duration timeout = std::chrono::seconds(3);
};

/// The gateway around the policy: delivers events, executes actions and keeps simulated time, which
/// passes only in advance() and stall().
class SimulatedGateway {
  public:
    SimulatedGateway();

    PolicySettings settings;  ///< take effect at start()

    // ---- events ----
    void start() { deliver(PolicyStarted{settings}); }
    /// Stops the policy and drops all that is scheduled.
    void stop();
    /// Kills and restarts the policy in one batch, then delivers the endpoint list and the last
    /// rollout update.
    void restart();
    /// Simulates a process stall: all that falls due meanwhile is delivered at its end.
    void stall(Duration length);
    void advance(Duration length) { advanceTo(now + length); }
    void deliver(const Event &event);
    void deliverEndpointList();
    void deliverRollout(const RolloutUpdate &update);
    void request(RequestId id, const RequestOptions &options);
    /// Resets the endpoint's attempts in flight and fails all later connects to it.
    void crash(const EndpointId &id);

    /// The entry of the endpoint list, added if missing. Changes reach the policy with the next
    /// list.
    EndpointEntry &endpoint(const EndpointId &id);
    EndpointBehavior &behavior(const EndpointId &id) { return behaviors[id]; }
    [[nodiscard]] TimePoint time() const { return now; }
    [[nodiscard]] const RolloutUpdate &lastRollout() const { return latestRollout; }
    RequestId nextRequestId = 1000;

    // ---- recorded actions ----
    /// Actions since the last mark, each in the form of a script line.
    [[nodiscard]] const std::vector<std::string> &actions() const { return log; }
    /// Discards the actions recorded so far.
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
        std::size_t clientRecordIndex = 0;  // index in records.clients
    };

    void execute(const std::vector<Action> &actions);
    void execute(const SendAttempt &action);
    void execute(const CancelAttempt &action);
    void execute(const ShedRequest &action) { respond(action.requestId, "shed"); }
    void execute(const FailRequest &action) { respond(action.requestId, "failed"); }
    void execute(const SetTimer &action);
    void execute(const ProbeEndpoint &action);
    void execute(const WatchEndpoints &) { logAction("watch"); }
    void execute(const Vote &action);
    void execute(const LogLine &action) { logAction("log " + action.message); }

    void logAction(const std::string &action) { log.push_back(action); }
    void respond(RequestId id, const std::string &action);
    void endAttempt(const Attempt &attempt, Outcome outcome, Duration after);
    void attemptEnded(const Attempt &attempt, Outcome outcome);
    void advanceTo(TimePoint until);
    void recordOverload(const EndpointEntry &target);
    [[nodiscard]] bool isWarm(const EndpointEntry &entry) const;
    [[nodiscard]] double recentAttempts(const EndpointId &id) const;

    Policy policy;
    TimePoint now = seconds(100);
    int incarnation = 0;  // counts the restarts of the policy
    RolloutUpdate latestRollout{};
    std::map<EndpointId, EndpointEntry> endpoints;
    std::map<EndpointId, EndpointBehavior> behaviors;
    std::multimap<TimePoint, std::function<void()>> scheduled;
    std::vector<std::string> log;

    std::map<RequestId, Request> requests;
    std::map<Attempt, EndpointId> targets;
    std::map<Attempt, std::size_t> endpointRecordIndex;  // index in records.instances
    std::set<Attempt> endedAttempts;
    std::map<EndpointId, std::vector<TimePoint>> attemptTimes;
    scenarios::Records records;
};

}  // namespace deckcart::test
