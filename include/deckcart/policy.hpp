// The interface of the decision module: what can happen to a gateway, what it can do, and the one
// entry point between the two. Types only; every decision is taken in src/policy/.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace deckcart {

// A length of time in microseconds. Points in time are durations since the clock's start.
using Duration = std::chrono::microseconds;
// A point in time: the duration since the clock's start. The same type for now.
using TimePoint = Duration;
using GatewayId = std::int64_t;  // one running gateway
using RequestId = std::uint64_t;
using EndpointId = std::string;
using BuildNumber = int;

/// How an attempt, or a call to the control plane, has ended.
enum class Outcome {
    ok,
    error,          ///< answered with an error
    overloaded,     ///< rejected for want of capacity; not run
    timeout,        ///< no answer in time; may have run
    connectFailed,  ///< not sent
    reset,          ///< the connection broke; may have run
    cancelled,      ///< by the gateway itself; may have run
    obsolete,       ///< no longer valid when it arrived; not run
    malformed       ///< an answer began that can't be read to its end; it may have been a good one
};
/// What a second run of a request does: nothing more, nothing more within the deduplication window
/// of its key, or a second effect.
enum class Idempotency { idempotent, withKey, nonIdempotent };
/// Which endpoints share the record of idempotency keys.
enum class DeduplicationScope { all, zone, cell };
enum class EndpointState { active, draining, removed };
/// Who promotes a rollout to its next stage: the first vote, a number of them, or time.
enum class PromotionRule { firstVote, quorum, timer };
enum class RolloutPhase { canary, rollingBack, released, rolledBack };
enum class Verdict { none, promote, hold, rollBack };

/// A class of requests with the same objective and idempotency.
struct Route {
    Duration latencyObjective{};  // an answer is wanted within this; the deadline is apart
    Idempotency idempotency = Idempotency::idempotent;
    DeduplicationScope deduplicationScope = DeduplicationScope::all;
    Duration deduplicationWindow{};  // from the first attempt that may have run
};

/// What a gateway is started with; does not change while it runs.
struct PolicySettings {
    std::uint64_t seed = 0;
    int gateways = 1;
    int zone = 0;
    std::vector<Route> routes;
    std::vector<double> tenantQuotas;  // by tenant: part of the accepted requests, 0 to 1
    // ---- what is allowed ----
    bool hedgingAllowed = false;
    bool cancellationAllowed = false;
    int maxAttempts = 1;  // of a request, the first included
    Duration maxRetryAfter{};
    Duration maxSendDelay{};  // an attempt may reach its endpoint so much later than decided
    bool retryAfterSupported = false;
    bool subscriptionRequired = false;
    Duration subscribeWithin{};  // of the start
    double crossZoneCost = 0;    // 0: requests may cross zones freely
    // Index of the in-flight requests in the load that a probe reports; -1: none, or no probes.
    int inFlightReportField = -1;
    // ---- parameters of the rules ----
    double initialCapacity = 1;   // part of its capacity that an endpoint starts with, 0 to 1
    Duration warmUpTime{};        // until it has all of it, at the latest
    double overloadMultiple = 1;  // times its capacity that overload an endpoint
    Duration overloadWindow{};    // if they come for so long
    // ---- rollouts ----
    PromotionRule promotionRule = PromotionRule::firstVote;
    bool inPlaceReplacement = false;
    bool exposurePerRoute = false;       // the exposure limit holds for each route by itself
    bool stickyKeys = false;             // a key that a build has answered stays with it
    int idempotentOnlyStages = 0;        // so many first stages take idempotent requests only
    double exposureAllowance = 0;        // attempts beyond the limit, in each window
    Duration exposureWindow{};           // over which attempts and accepted requests are counted
    std::vector<double> exposureLimits;  // by stage: part of the accepted requests
    std::vector<double> stageShares;     // by stage: part of the endpoints that run the build
    Duration minStageDuration{};         // a stage lasts so long at least; 0: not known
    Duration voteLifetime{};             // a vote lapses after this unless it is renewed
    Duration voteTimeout{};
    int votesToRollBack = 1;
    double incorrectReportRate = 0;  // part of the incorrect responses that is reported
};

/// An endpoint as the endpoint list describes it.
struct EndpointEntry {
    EndpointId id;
    int zone = 0;
    int cell = 0;
    BuildNumber build = 0;
    EndpointState state = EndpointState::active;
    double weight = 1;                   // relative capacity
    std::optional<TimePoint> startedAt;  // empty: long ago
};

// ---- what happened: events ----
struct PolicyStarted {
    PolicySettings settings;
};
struct PolicyStopped {};
struct EndpointListUpdate {
    bool complete = false;  // endpoints that are not in it have left
    std::vector<EndpointEntry> entries;
};
struct EndpointListFailed {};
struct RequestArrived {
    RequestId requestId = 0;
    std::string key;  // idempotency and affinity key; may be empty
    int route = 0;
    int tenant = 0;
    TimePoint deadline{};  // the client gives up then
};
struct AttemptEnded {
    RequestId requestId = 0;
    int attemptNumber = 0;      // from 0, in the order of SendAttempt
    bool requestEnded = false;  // its answer has gone to the client, good or not
    Outcome outcome = Outcome::ok;
};
/// The client has given up.
struct RequestAbandoned {
    RequestId requestId = 0;
};
struct TimerFired {};
struct ProbeEnded {
    EndpointId endpoint;
    std::vector<double> load;  // empty: the probe has failed
};
/// The stage of a rollout, pushed or in answer to a vote.
struct RolloutUpdate {
    bool isVoteReply = false;
    Outcome outcome = Outcome::ok;  // unless ok, the rest is not valid
    BuildNumber build = 0;
    int step = 0;
    RolloutPhase phase = RolloutPhase::canary;
    double exposureLimit = 0;  // part of the accepted requests
    Duration age{};            // since the stage began
};
/// Attempts of all gateways at a build, as the platform has counted them.
struct UsageReport {
    BuildNumber build = 0;
    int route = 0;
    int attempts = 0;
    int failures = 0;
    Duration age{};
};
/// A client found a response to be incorrect.
struct IncorrectResponseReported {
    EndpointId endpoint;
    Duration age{};  // since its attempt was sent
};
using Event = std::variant<PolicyStarted, PolicyStopped, EndpointListUpdate, EndpointListFailed,
                           RequestArrived, AttemptEnded, RequestAbandoned, TimerFired, ProbeEnded,
                           RolloutUpdate, UsageReport, IncorrectResponseReported>;

// ---- what is to be done: actions ----
struct SendAttempt {
    RequestId requestId = 0;
    EndpointId endpoint;
};
struct CancelAttempt {
    RequestId requestId = 0;
    int attemptNumber = 0;
};
/// Answers the client that its request was not run, or may be repeated without harm.
struct ShedRequest {
    RequestId requestId = 0;
    Duration retryAfter{};  // 0: not stated
};
/// Answers the client with an error: the request may have run.
struct FailRequest {
    RequestId requestId = 0;
};
/// TimerFired is due after this delay.
struct SetTimer {
    Duration delay{};
};
struct ProbeEndpoint {
    EndpointId endpoint;
};
struct WatchEndpoints {
    bool active = true;
};
struct Vote {
    BuildNumber build = 0;
    int step = 0;
    Verdict verdict = Verdict::none;
};
struct LogLine {
    std::string message;
};
using Action = std::variant<SendAttempt, CancelAttempt, ShedRequest, FailRequest, SetTimer,
                            ProbeEndpoint, WatchEndpoints, Vote, LogLine>;

/// The decisions of the gateways that one process hosts. They share nothing. Not thread-safe.
class Policy {
  public:
    Policy();
    ~Policy();
    /// What happened to this gateway at this time, in order; returns what it is to do now, in
    /// order. `now` never falls from call to call of a gateway. Events of a gateway that has not
    /// been started, or has stopped, are passed over.
    [[nodiscard]] std::vector<Action> decide(GatewayId gateway, TimePoint now,
                                             const std::vector<Event> &events);

  private:
    struct Instance;
    std::map<GatewayId, std::unique_ptr<Instance>> instances;
};

}  // namespace deckcart
