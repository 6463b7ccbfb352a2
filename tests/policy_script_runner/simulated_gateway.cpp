#include "simulated_gateway.hpp"

#include <algorithm>
#include <cmath>

namespace deckcart::test {
namespace {

constexpr GatewayId kGateway = 1;
constexpr Duration kCancelDelay = std::chrono::milliseconds(10);
constexpr Duration kProbeDelay = std::chrono::milliseconds(1);
// The least capacity assumed of a warm endpoint, in requests per second.
constexpr double kMinCapacity = 10;
// Attempts by which an endpoint may exceed its allowed number before it counts as overloaded.
constexpr double kOverloadSlack = 2;

double inSeconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
}

// Whether the n-th item of a series belongs to a share that is spread evenly over it.
bool isInShare(int n, double share) {
    return std::floor(n * share) > std::floor((n - 1) * share);
}

const char *nameOf(Verdict verdict) {
    switch (verdict) {
    case Verdict::none:
        return "none";
    case Verdict::promote:
        return "promote";
    case Verdict::hold:
        return "hold";
    case Verdict::rollBack:
        return "roll-back";
    }
    return "unknown";
}

}  // namespace

SimulatedGateway::SimulatedGateway() {
    settings.seed = 7;
    settings.gateways = 3;
    settings.maxAttempts = 4;
    settings.cancellationAllowed = true;
    settings.routes = {
        {seconds(0.8), Idempotency::idempotent, DeduplicationScope::all, seconds(5)},
        {seconds(1.2), Idempotency::withKey, DeduplicationScope::all, seconds(5)},
        {seconds(1.2), Idempotency::nonIdempotent, DeduplicationScope::all, seconds(5)}};
    settings.retryAfterSupported = true;
    settings.maxRetryAfter = seconds(1);
    settings.initialCapacity = 0.4;
    settings.warmUpTime = seconds(4);
    settings.overloadMultiple = 2;
    settings.overloadWindow = seconds(3);
    settings.promotionRule = PromotionRule::quorum;
    settings.exposureAllowance = 2;
    settings.exposureWindow = seconds(4);
    settings.exposureLimits = {0.2, 0.5, 1};
    settings.stageShares = {0.1, 0.5, 1};
    settings.voteLifetime = seconds(6);
    settings.voteTimeout = seconds(0.8);
}

// ---- events ----

void SimulatedGateway::deliver(const Event &event) {
    execute(policy.decide(kGateway, now, {event}));
}

void SimulatedGateway::stop() {
    const auto actions = policy.decide(kGateway, now, {PolicyStopped{}});
    scheduled.clear();
    ++incarnation;
    execute(actions);
    records.halts.push_back({0, scenarios::HaltKind::killed, now, now});
}

void SimulatedGateway::restart() {
    ++settings.seed;
    const auto actions = policy.decide(kGateway, now, {PolicyStopped{}, PolicyStarted{settings}});
    scheduled.clear();
    ++incarnation;
    execute(actions);
    records.halts.push_back({0, scenarios::HaltKind::killed, now, now});
    deliverEndpointList();
    if (!records.releases.empty())
        deliverRollout(latestRollout);
}

void SimulatedGateway::stall(Duration length) {
    records.halts.push_back({0, scenarios::HaltKind::stopped, now, now + length});
    now += length;
    std::vector<std::function<void()>> due;
    while (!scheduled.empty() && scheduled.begin()->first <= now) {
        due.push_back(scheduled.begin()->second);
        scheduled.erase(scheduled.begin());
    }
    for (const auto &task : due)
        task();
}

void SimulatedGateway::advanceTo(TimePoint until) {
    while (!scheduled.empty() && scheduled.begin()->first <= until) {
        const auto [at, task] = *scheduled.begin();
        scheduled.erase(scheduled.begin());
        now = at;
        task();
    }
    now = until;
}

EndpointEntry &SimulatedGateway::endpoint(const EndpointId &id) {
    EndpointEntry &entry = endpoints[id];
    entry.id = id;
    return entry;
}

void SimulatedGateway::deliverEndpointList() {
    EndpointListUpdate update{true, {}};
    for (const auto &[id, entry] : endpoints) {
        update.entries.push_back(entry);
        const bool isColdStart = entry.startedAt && now - *entry.startedAt < settings.warmUpTime;
        records.endpoints.push_back({0, now, id, entry.build, entry.state, isColdStart});
    }
    deliver(update);
}

void SimulatedGateway::deliverRollout(const RolloutUpdate &update) {
    if (update.outcome == Outcome::ok) {
        records.releases.push_back(
            {0, now, update.build, update.step, update.phase, update.exposureLimit});
        latestRollout = update;
    }
    deliver(update);
}

void SimulatedGateway::request(RequestId id, const RequestOptions &options) {
    const TimePoint deadline = now + options.timeout;
    Request &request = requests[id];
    request.route = options.route;
    request.finalResponses = 0;
    request.clientRecordIndex = records.clients.size();
    scenarios::ClientRecord record;
    record.requestId = std::to_string(incarnation) + "/" + std::to_string(id);
    record.route = options.route;
    record.key = options.key;
    record.sent = now;
    record.givesUp = deadline;
    records.clients.push_back(record);
    deliver(RequestArrived{id, options.key, options.route, 0, deadline});
    // As in the gateway, attempts in flight at the deadline time out.
    scheduled.emplace(deadline, [this, id] {
        for (int number = 0; number < requests[id].attempts; ++number)
            endAttempt({id, number}, Outcome::timeout, Duration{0});
    });
}

void SimulatedGateway::crash(const EndpointId &id) {
    behaviors[id] = EndpointBehavior{};
    behaviors[id].outcome = Outcome::connectFailed;
    for (const auto &[attempt, target] : targets) {
        if (target == id && !endedAttempts.contains(attempt))
            endAttempt(attempt, Outcome::reset, Duration{0});
    }
}

// ---- actions of the policy ----

void SimulatedGateway::execute(const std::vector<Action> &actions) {
    for (const auto &action : actions)
        std::visit([this](const auto &typedAction) { execute(typedAction); }, action);
}

void SimulatedGateway::execute(const SendAttempt &action) {
    Request &request = requests[action.requestId];
    check(request.finalResponses == 0,
          "request " + std::to_string(action.requestId) +
              ": expected no attempt after its final response, saw one");
    const Attempt attempt{action.requestId, request.attempts++};
    const EndpointEntry &target = endpoints.at(action.endpoint);
    targets[attempt] = action.endpoint;
    endpointRecordIndex[attempt] = records.instances.size();
    records.instances.push_back({records.clients.at(request.clientRecordIndex).requestId,
                                 action.endpoint, target.zone, target.cell, target.build, now,
                                 true});
    recordOverload(target);
    logAction("send request=" + std::to_string(action.requestId) + " endpoint=" + action.endpoint +
              " build=" + std::to_string(target.build) +
              " attempt=" + std::to_string(attempt.number));

    EndpointBehavior &behavior = behaviors[action.endpoint];
    if (behavior.silent)
        return;
    const int number = ++behavior.attemptCount;
    const bool mayFail = behavior.failingRoute < 0 || behavior.failingRoute == request.route;
    Outcome outcome = behavior.outcome;
    if (mayFail && isInShare(number, behavior.failureShare))
        outcome = Outcome::error;
    if (isInShare(number, behavior.droppedShare))
        return;
    const double variation = 0.7 + 0.06 * (number * 7 % 10);
    endAttempt(attempt, outcome, seconds(behavior.responseSeconds * variation));
}

void SimulatedGateway::execute(const CancelAttempt &action) {
    const Attempt attempt{action.requestId, action.attemptNumber};
    logAction("cancel request=" + std::to_string(action.requestId));
    if (!endedAttempts.contains(attempt))
        endAttempt(attempt, Outcome::cancelled, kCancelDelay);
}

void SimulatedGateway::execute(const SetTimer &action) {
    scheduled.emplace(now + action.delay, [this] { deliver(TimerFired{}); });
}

void SimulatedGateway::execute(const ProbeEndpoint &action) {
    logAction("probe endpoint=" + action.endpoint);
    const ProbeEnded result{action.endpoint, {behaviors[action.endpoint].load}};
    scheduled.emplace(now + kProbeDelay, [this, result] { deliver(result); });
}

void SimulatedGateway::execute(const Vote &action) {
    logAction(std::string("vote ") + nameOf(action.verdict) +
              " build=" + std::to_string(action.build) + " step=" + std::to_string(action.step));
}

void SimulatedGateway::respond(RequestId id, const std::string &action) {
    Request &request = requests[id];
    auto &record = records.clients[request.clientRecordIndex];
    record.answered = now;
    ++record.answers;
    record.end = action == "completed" ? scenarios::ClientEnd::completed
                 : action == "shed"    ? scenarios::ClientEnd::shed
                                       : scenarios::ClientEnd::errored;
    check(++request.finalResponses == 1,
          "request " + std::to_string(id) +
              ": expected one final response, saw a second: " + action);
    logAction(action + " request=" + std::to_string(id));
}

void SimulatedGateway::endAttempt(const Attempt &attempt, Outcome outcome, Duration after) {
    scheduled.emplace(now + after, [this, attempt, outcome, startedIn = incarnation] {
        if (startedIn == incarnation)
            attemptEnded(attempt, outcome);
    });
}

void SimulatedGateway::attemptEnded(const Attempt &attempt, Outcome outcome) {
    auto &endpointRecord = records.instances[endpointRecordIndex.at(attempt)];
    if (outcome == Outcome::overloaded || outcome == Outcome::connectFailed)
        endpointRecord.mayHaveRun = false;
    if (!endedAttempts.insert(attempt).second)
        return;  // ended before, for example by a cancellation
    Request &request = requests[attempt.requestId];
    if (outcome == Outcome::ok && request.finalResponses == 0) {
        respond(attempt.requestId, "completed");
        records.clients[request.clientRecordIndex].build = endpointRecord.build;
    }
    const AttemptEnded event{attempt.requestId, attempt.number, request.finalResponses > 0,
                             outcome};
    deliver(event);
    if (behaviors[targets.at(attempt)].reportsTwice)
        deliver(event);
}

// ---- the five rules ----

bool SimulatedGateway::isWarm(const EndpointEntry &entry) const {
    return !entry.startedAt || now - *entry.startedAt > settings.warmUpTime;
}

// Attempts sent to the endpoint within the overload window.
double SimulatedGateway::recentAttempts(const EndpointId &id) const {
    const auto found = attemptTimes.find(id);
    if (found == attemptTimes.end())
        return 0;
    const auto &times = found->second;
    return double(times.end() - std::ranges::upper_bound(times, now - settings.overloadWindow));
}

// An endpoint in warm-up counts as overloaded when its recent attempts exceed the configured
// multiple of its warm-up fraction of a warm endpoint's capacity. The capacity is the highest
// number of recent attempts that any warm endpoint got, but at least kMinCapacity.
void SimulatedGateway::recordOverload(const EndpointEntry &target) {
    attemptTimes[target.id].push_back(now);
    double capacity = kMinCapacity * inSeconds(settings.overloadWindow);
    for (const auto &[id, entry] : endpoints) {
        if (isWarm(entry))
            capacity = std::max(capacity, recentAttempts(id));
    }
    if (isWarm(target))
        return;
    const double age = inSeconds(now - *target.startedAt) / inSeconds(settings.warmUpTime);
    const double warmUpFraction = settings.initialCapacity + (1 - settings.initialCapacity) * age;
    const double allowed = settings.overloadMultiple * warmUpFraction * capacity + kOverloadSlack;
    if (recentAttempts(target.id) > allowed)
        records.overloadedEndpoints.push_back({target.id, now - settings.overloadWindow, now});
}

void SimulatedGateway::checkInvariants() const {
    scenarios::RuleParameters parameters;
    parameters.routes = settings.routes;
    parameters.drainGrace = Duration{0};
    parameters.exposureAllowance = settings.exposureAllowance;
    parameters.exposureWindow = settings.exposureWindow;
    parameters.exposurePerRoute = settings.exposurePerRoute;
    parameters.stickyKeys = settings.stickyKeys;
    parameters.firstExposureLimit = settings.exposureLimits.front();
    parameters.idempotentOnlyStages = settings.idempotentOnlyStages;
    parameters.firstBuild = 1;
    parameters.slack = Duration{0};  // all records share one clock, so no tolerance is needed
    std::string violations;
    for (const auto &violation : scenarios::audit(records, parameters))
        violations += std::string("\n  ") + scenarios::nameOf(violation.rule) + ": request " +
                      violation.requestId + ": " + violation.words;
    check(violations.empty(), "expected no rule violations, saw:" + violations);
}

}  // namespace deckcart::test
