// Interface of the decision module: events that a gateway receives, actions that it takes, and the
// single entry point between them. Types only; the decisions are taken in src/policy/.
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

/// A duration in microseconds.
using Duration = std::chrono::microseconds;
/// A point in time, as the duration since the clock's epoch; the same type as Duration.
using TimePoint = Duration;
/// Identifies one running gateway.
using GatewayId = std::int64_t;
using RequestId = std::uint64_t;
using EndpointId = std::string;
using BuildNumber = int;

/// Outcome of an attempt or of a call to the control plane.
enum class Outcome {
    ok,
    error,          ///< an error response
    overloaded,     ///< rejected for lack of capacity; not run
    timeout,        ///< no response in time; may have run
    connectFailed,  ///< not sent
    reset,          ///< the connection broke; may have run
    cancelled,      ///< cancelled by the gateway; may have run
    obsolete,       ///< obsolete on arrival; not run
    malformed       ///< a response that can't be parsed to its end; may be a successful one
};
/// Effect of running a request a second time: none, none within the deduplication window of its
/// key, or a second effect.
enum class Idempotency { idempotent, withKey, nonIdempotent };
/// Which endpoints share the deduplication records of idempotency keys: all of them, those of a
/// zone, or those of a cell.
enum class DeduplicationScope { all, zone, cell };
enum class EndpointState { active, draining, removed };
/// What promotes a rollout to its next stage: the first vote, a quorum of votes, or the passage of
/// time.
enum class PromotionRule { firstVote, quorum, timer };
enum class RolloutPhase { canary, rollingBack, released, rolledBack };
enum class Verdict { none, promote, hold, rollBack };

/// A class of requests with the same latency objective and idempotency.
struct Route {
    Duration latencyObjective{};  ///< desired latency; independent of the request's deadline
    Idempotency idempotency = Idempotency::idempotent;
    DeduplicationScope deduplicationScope = DeduplicationScope::all;
    Duration deduplicationWindow{};  ///< starts with the first attempt that may have run
};

/// Settings of a gateway, constant while it runs. "Received requests" include those that it sheds.
struct PolicySettings {
    std::uint64_t seed = 0;
    int gateways = 1;
    int zone = 0;
    std::vector<Route> routes;
    std::vector<double> tenantQuotas;  ///< by tenant: fraction of the received requests, 0 to 1
    // ---- allowed operations ----
    bool hedgingAllowed = false;
    bool cancellationAllowed = false;
    int maxAttempts = 1;  ///< per request, including the first
    Duration maxRetryAfter{};
    Duration maxSendDelay{};  ///< maximum delay from the decision to the arrival at the endpoint
    bool retryAfterSupported = false;
    bool subscriptionRequired = false;  ///< the endpoint list must be subscribed to
    Duration subscribeWithin{};         ///< maximum time from the start to the subscription
    double crossZoneCost = 0;           ///< relative cost of a request to another zone; 0: free
    /// Index of the number of in-flight requests within a probe's load report; -1: not reported, or
    /// no probes.
    int inFlightReportField = -1;
    // ---- parameters of the rules ----
    double initialCapacity = 1;   ///< fraction of its capacity that an endpoint starts with
    Duration warmUpTime{};        ///< time to full capacity, at most
    double overloadMultiple = 1;  ///< multiple of its capacity that overloads an endpoint
    Duration overloadWindow{};    ///< time that such a load must last to overload it
    // ---- rollouts ----
    PromotionRule promotionRule = PromotionRule::firstVote;
    bool inPlaceReplacement = false;  ///< new endpoints replace old ones instead of joining them
    bool exposurePerRoute = false;    ///< the exposure limit applies to each route separately
    bool stickyKeys = false;          ///< once a build may have answered a key, no older one will
    int idempotentOnlyStages = 0;  ///< number of initial stages that take idempotent requests only
    double exposureAllowance = 0;  ///< attempts allowed beyond the limit, per window
    Duration exposureWindow{};     ///< window over which attempts and received requests are counted
    std::vector<double> exposureLimits;  ///< by stage: fraction of the received requests, 0 to 1
    std::vector<double> stageShares;     ///< by stage: fraction of endpoints that run the build
    Duration minStageDuration{};         ///< minimum duration of a stage; 0: not known
    Duration voteLifetime{};             ///< a vote lapses after this time unless it is renewed
    Duration voteTimeout{};
    int votesToRollBack = 1;         ///< votes of different gateways that a roll back takes
    double incorrectReportRate = 0;  ///< fraction of incorrect responses that are reported
};

/// An endpoint as described by the endpoint list.
struct EndpointEntry {
    EndpointId id;
    int zone = 0;
    int cell = 0;
    BuildNumber build = 0;
    EndpointState state = EndpointState::active;
    double weight = 1;                   ///< relative capacity
    std::optional<TimePoint> startedAt;  ///< empty: not known, since it was long ago
};

// ---- events ----
struct PolicyStarted {
    PolicySettings settings;
};
struct PolicyStopped {};
struct EndpointListUpdate {
    bool complete = false;  ///< true: endpoints that are not listed have been removed
    std::vector<EndpointEntry> entries;
};
struct EndpointListFailed {};
struct RequestArrived {
    RequestId requestId = 0;
    std::string key;  ///< idempotency and affinity key; may be empty
    int route = 0;
    int tenant = 0;
    TimePoint deadline{};  ///< when the client gives up
};
struct AttemptEnded {
    RequestId requestId = 0;
    int attemptNumber = 0;      ///< from 0, in the order of the SendAttempt actions
    bool requestEnded = false;  ///< the response, successful or not, has been sent to the client
    Outcome outcome = Outcome::ok;
};
/// The client has abandoned its request.
struct RequestAbandoned {
    RequestId requestId = 0;
};
struct TimerFired {};
struct ProbeEnded {
    EndpointId endpoint;
    std::vector<double> load;  ///< empty: the probe failed
};
/// Stage of a rollout, received as a push or as the reply to a vote.
struct RolloutUpdate {
    bool isVoteReply = false;
    Outcome outcome = Outcome::ok;  ///< unless ok, the following fields are not valid
    BuildNumber build = 0;
    int step = 0;
    RolloutPhase phase = RolloutPhase::canary;
    double exposureLimit = 0;  ///< fraction of the received requests, 0 to 1
    Duration age{};            ///< since the start of the stage
};
/// Attempts of all gateways at a build, as counted by the platform.
struct UsageReport {
    BuildNumber build = 0;
    int route = 0;
    int attempts = 0;
    int failures = 0;
    Duration age{};
};
/// A client reported a response as incorrect.
struct IncorrectResponseReported {
    EndpointId endpoint;
    Duration age{};  ///< time since the attempt was sent
};
using Event = std::variant<PolicyStarted, PolicyStopped, EndpointListUpdate, EndpointListFailed,
                           RequestArrived, AttemptEnded, RequestAbandoned, TimerFired, ProbeEnded,
                           RolloutUpdate, UsageReport, IncorrectResponseReported>;

// ---- actions ----
struct SendAttempt {
    RequestId requestId = 0;
    EndpointId endpoint;
};
struct CancelAttempt {
    RequestId requestId = 0;
    int attemptNumber = 0;
};
/// Rejects the request: tells the client that it was not run or can be repeated safely.
struct ShedRequest {
    RequestId requestId = 0;
    Duration retryAfter{};  ///< 0: not sent
};
/// Responds with an error; the request may have run.
struct FailRequest {
    RequestId requestId = 0;
};
/// Requests a TimerFired event after this delay.
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

/// Decisions of the gateways that one process hosts; they share no state. Not thread-safe.
class Policy {
  public:
    Policy();
    ~Policy();
    /// Handles the events of a gateway, in order, and returns the actions to take, in order. `now`
    /// must not decrease between calls for the same gateway. Events of a gateway that has not been
    /// started, or has been stopped, are ignored.
    [[nodiscard]] std::vector<Action> decide(GatewayId gateway, TimePoint now,
                                             const std::vector<Event> &events);

  private:
    struct Instance;
    std::map<GatewayId, std::unique_ptr<Instance>> instances;
};

}  // namespace deckcart
