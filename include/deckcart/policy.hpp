// The interface of the decision module: what can happen to a gateway, what it can do, and the one
// entry point between the two. Types only; every decision is taken in src/policy/policy.cpp.
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

// unreadable: an answer has begun that can't be read to its end; the instance may have given a good
// one
enum class Outcome {
    ok,
    error,
    overloaded,
    timeout,
    connectFailed,
    reset,
    cancelled,
    obsolete,
    malformed
};
enum class Idempotency { idempotent, withKey, nonIdempotent };
enum class DeduplicationScope { all, zone, cell };
enum class EndpointState { active, draining, removed };
enum class PromotionRule { firstVote, quorum, timer };
enum class RolloutPhase { canary, rollingBack, released, rolledBack };
enum class Verdict { none, promote, hold, rollBack };

struct Route {
    Duration latencyObjective{};  // when an answer is wanted
    Idempotency idempotency = Idempotency::idempotent;
    DeduplicationScope deduplicationScope = DeduplicationScope::all;
    Duration deduplicationWindow{};
};

struct PolicySettings {
    std::uint64_t seed = 0;
    int gateways = 1;
    int zone = 0;
    std::vector<Route> routes;
    std::vector<double> tenantQuotas;
    // what is allowed
    bool hedgingAllowed = false;
    bool cancellationAllowed = false;
    int maxAttempts = 1;
    Duration maxRetryAfter{};
    Duration maxSendDelay{};  // a try may reach its endpoint so much later than it was decided
    bool retryAfterSupported = false;
    bool subscriptionRequired = false;
    Duration subscribeWithin{};
    double crossZoneCost = 0;
    int inFlightReportField =
        -1;  // place of the requests in hand in a report to a probe; -1: not told, or no probes
    // figures of the rules
    double initialCapacity = 1;
    Duration warmUpTime{};
    double overloadMultiple = 1;
    Duration overloadWindow{};
    // releases
    PromotionRule promotionRule = PromotionRule::firstVote;
    bool inPlaceReplacement = false;
    bool exposurePerRoute = false;
    bool stickyKeys = false;
    int idempotentOnlyStages = 0;
    double exposureAllowance = 0;
    Duration exposureWindow{};
    std::vector<double> exposureLimits;
    std::vector<double> stageShares;
    Duration minStageDuration{};  // a stage lasts so long at least; 0: not told
    Duration voteLifetime{};
    Duration voteTimeout{};
    int votesToRollBack = 1;
    double incorrectReportRate = 0;  // part of the wrong answers that is reported
};

struct EndpointEntry {
    EndpointId id;
    int zone = 0;
    int cell = 0;
    BuildNumber build = 0;
    EndpointState state = EndpointState::active;
    double weight = 1;
    std::optional<Duration> startedAt;  // empty: long ago
};

// ---- what happened ----
struct PolicyStarted {
    PolicySettings settings;
};
struct PolicyStopped {};
struct EndpointListUpdate {
    bool complete = false;
    std::vector<EndpointEntry> entries;
};
struct EndpointListFailed {};
struct RequestArrived {
    RequestId requestId = 0;
    std::string key;
    int route = 0;
    int tenant = 0;
    Duration deadline{};
};
struct AttemptEnded {
    RequestId requestId = 0;
    int attemptNumber = 0;
    bool requestEnded = false;
    Outcome outcome = Outcome::ok;
};
struct RequestAbandoned {
    RequestId requestId = 0;
};
struct TimerFired {};
struct ProbeEnded {
    EndpointId endpoint;
    std::vector<double> load;  // empty: the probe has failed
};
struct RolloutUpdate {
    bool isVoteReply = false;
    Outcome outcome = Outcome::ok;
    BuildNumber build = 0;
    int step = 0;
    RolloutPhase phase = RolloutPhase::canary;
    double exposureLimit = 0;
    Duration age{};
};
struct UsageReport {
    BuildNumber build = 0;
    int route = 0;
    int attempts = 0;
    int failures = 0;
    Duration age{};
};
struct IncorrectResponseReported {
    EndpointId endpoint;
    Duration age{};  // its try was sent
};
using Event = std::variant<PolicyStarted, PolicyStopped, EndpointListUpdate, EndpointListFailed,
                           RequestArrived, AttemptEnded, RequestAbandoned, TimerFired, ProbeEnded,
                           RolloutUpdate, UsageReport, IncorrectResponseReported>;

// ---- what is to be done ----
struct SendAttempt {
    RequestId requestId = 0;
    EndpointId endpoint;
};
struct CancelAttempt {
    RequestId requestId = 0;
    int attemptNumber = 0;
};
struct ShedRequest {
    RequestId requestId = 0;
    Duration retryAfter{};
};
struct FailRequest {
    RequestId requestId = 0;
};
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

// The records of the instances that one process hosts. They share nothing.
class Policy {
  public:
    Policy();
    ~Policy();
    // The entry point: what happened to this instance at this time, in order; returns what it does
    // now.
    std::vector<Action> decide(GatewayId who, Duration now, const std::vector<Event> &happened);

  private:
    struct Instance;
    std::map<GatewayId, std::unique_ptr<Instance>> instances;
};

}  // namespace deckcart
