// The interface of the decision module: what can happen to a gateway, what it can do, and the one entry
// point between the two. Types only; every decision is taken in src/policy/policy.cpp.
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
using InstanceId = std::int64_t;  // one running gateway
using RequestId = std::uint64_t;
using ServerId = std::string;
using BuildNo = int;

// unreadable: an answer has begun that can't be read to its end; the instance may have given a good one
enum class Outcome { ok, error, full, timeout, connectFailed, reset, cancelled, moot, unreadable };
enum class Effect { retriable, deduped, nonRetriable };
enum class Group { all, zone, cell };
enum class Readiness { live, draining, gone };
enum class Gate { firstVote, byCount, clock };
enum class Phase { onTrial, goingBack, released, withdrawn };
enum class Verdict { none, on, hold, back };

struct Route {
    Duration latencyObjective{};  // when an answer is wanted
    Effect effect = Effect::retriable;
    Group group = Group::all;
    Duration repeatWindow{};
};

struct StartValues {
    std::uint64_t seed = 0;
    int gateways = 1;
    int zone = 0;
    std::vector<Route> routes;
    std::vector<double> accountShares;
    // what is allowed
    bool mayCopy = false;
    bool mayCancel = false;
    int maxAttempts = 1;
    Duration longestRetryAfter{};
    Duration sendsWithin{};  // a try may reach its server so much later than it was decided
    bool retryAfterTold = false;
    bool listMustBeAsked = false;
    Duration askWithin{};
    double crossZoneFee = 0;
    int inHandField = -1;  // place of the requests in hand in a report to a probe; -1: not told, or no probes
    // figures of the rules
    double coldFrom = 1;
    Duration warmWithin{};
    double tipMultiple = 1;
    Duration overloadFor{};
    // releases
    Gate gate = Gate::firstVote;
    bool replacedInPlace = false;
    bool exposurePerRoute = false;
    bool keysStay = false;
    int guardedStages = 0;
    double exposureAllowance = 0;
    Duration exposureSpan{};
    std::vector<double> exposureCaps;
    std::vector<double> stageShares;
    Duration leastStage{};  // a stage lasts so long at least; 0: not told
    Duration voteLife{};
    Duration voteAnswerWithin{};
    int votesToGoBack = 1;
    double wrongReported = 0;  // part of the wrong answers that is reported
};

struct ServerEntry {
    ServerId id;
    int zone = 0;
    int cell = 0;
    BuildNo build = 0;
    Readiness readiness = Readiness::live;
    double weight = 1;
    std::optional<Duration> startedAt;  // empty: long ago
};

// ---- what happened ----
struct Started {
    StartValues values;
};
struct Stopped {};
struct ListTold {
    bool complete = false;
    std::vector<ServerEntry> entries;
};
struct ListFailed {};
struct RequestArrived {
    RequestId requestId = 0;
    std::string key;
    int route = 0;
    int account = 0;
    Duration notAfter{};
};
struct AttemptEnded {
    RequestId requestId = 0;
    int attemptNumber = 0;
    bool requestEnded = false;
    Outcome how = Outcome::ok;
};
struct RequestAbandoned {
    RequestId requestId = 0;
};
struct TimerFired {};
struct ProbeEnded {
    ServerId server;
    std::vector<double> load;  // empty: the probe has failed
};
struct StageNews {
    bool answersVote = false;
    Outcome how = Outcome::ok;
    BuildNo build = 0;
    int step = 0;
    Phase phase = Phase::onTrial;
    double cap = 0;
    Duration since{};
};
struct TallyTold {
    BuildNo build = 0;
    int route = 0;
    int counted = 0;
    int lost = 0;
    Duration since{};
};
struct WrongReported {
    ServerId server;
    Duration since{};  // its try was sent
};
using Event = std::variant<Started, Stopped, ListTold, ListFailed, RequestArrived, AttemptEnded,
                           RequestAbandoned, TimerFired, ProbeEnded, StageNews, TallyTold, WrongReported>;

// ---- what is to be done ----
struct SendAttempt {
    RequestId requestId = 0;
    ServerId server;
};
struct CancelAttempt {
    RequestId requestId = 0;
    int attemptNumber = 0;
};
struct Shed {
    RequestId requestId = 0;
    Duration retryIn{};
};
struct EndErrored {
    RequestId requestId = 0;
};
struct SetTimer {
    Duration after{};
};
struct Probe {
    ServerId server;
};
struct FollowList {
    bool active = true;
};
struct Vote {
    BuildNo build = 0;
    int step = 0;
    Verdict verdict = Verdict::none;
};
struct LogLine {
    std::string words;
};
using Action =
    std::variant<SendAttempt, CancelAttempt, Shed, EndErrored, SetTimer, Probe, FollowList, Vote, LogLine>;

// The records of the instances that one process hosts. They share nothing.
class Policy {
  public:
    Policy();
    ~Policy();
    // The entry point: what happened to this instance at this time, in order; returns what it does now.
    std::vector<Action> decide(InstanceId who, Duration now, const std::vector<Event> &happened);

  private:
    struct Record;
    std::map<InstanceId, std::unique_ptr<Record>> records;
};

}  // namespace deckcart
