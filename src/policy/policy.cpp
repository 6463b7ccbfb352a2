// Entry point of the decision module: events in, actions out. Policy::decide is called once per
// gateway and batch of events. The interface is include/deckcart/policy.hpp; the decisions are in
// the modules beside this file.
#include <algorithm>
#include <deckcart/policy.hpp>
#include <utility>

#include "deployment_size.hpp"
#include "instance.hpp"

namespace deckcart {
namespace {

using namespace std::chrono_literals;

// Delay before subscribing to the endpoint list again after a failure.
constexpr Duration kWatchRetryDelay = 500ms;
// Without a list, subscribe again after half of the allowed time, but not before this.
constexpr Duration kMinWatchTimeout = 1s;
// A retry is sent only if this fraction of the usual latency is left before the objective: many
// responses arrive faster than usual.
constexpr double kMinRetryLatencyFraction = 0.5;

}  // namespace

Policy::Instance::Instance(const PolicySettings &policySettings, TimePoint startedAt)
    : settings(policySettings), now(startedAt), random(settings.seed), latencies(settings.routes),
      slowStart(settings), fleet(settings, slowStart), balancer(settings, slowStart),
      exposure(settings), affinity(settings), retries(settings), admission(settings),
      rollout(settings), analyzer(settings, startedAt), votes(settings) {
    if (settings.subscriptionRequired)
        watchEndpoints();
    setTimer();
}

void Policy::Instance::handle(const Event &event, TimePoint time) {
    now = time;
    std::visit([&](const auto &specific) { on(specific); }, event);
}

std::vector<Action> Policy::Instance::finishBatch() {
    if (fleet.due(now)) {
        countFleet();
        for (const std::string &message : analyzer.analyze(analysisContext(), votes))
            log(message);
    }
    if (const auto vote = votes.next(rollout, now)) {
        actions.emplace_back(*vote);
        if (votes.startsRollBack())
            log("vote back: " + votes.reason());
    }
    return std::exchange(actions, {});
}

// ---- endpoints ----
void Policy::Instance::watchEndpoints() {
    actions.emplace_back(WatchEndpoints{true});
    nextWatchAt = now + std::max<Duration>(settings.subscribeWithin / 2, kMinWatchTimeout);
}

void Policy::Instance::on(const EndpointListFailed &) {
    nextWatchAt = now + kWatchRetryDelay;
    watching = false;
}

void Policy::Instance::on(const EndpointListUpdate &list) {
    if (list.complete)
        endpoints.markAllRemoved(now);
    // Drops endpoints that left long ago, so that records don't accumulate. They are kept until
    // they would be warm again, so that requests sent during warm-up still count if the endpoint
    // returns.
    endpoints.dropRemoved(slowStart.retention(), now, [&](const Endpoint &endpoint) {
        return std::ranges::any_of(requests, [&](const auto &item) {
            return item.second.awaitsLoadOf(endpoint) || item.second.triedAt(endpoint);
        });
    });
    analyzer.forgetEndpoints([&](const EndpointId &id) { return endpoints.contains(id); });
    endpoints.update(list.entries, random, now);
    watching = true;
    const auto &active = endpoints.active();
    rollout.setOldestActive(active.empty() ? std::nullopt : std::optional(active.begin()->first));
    countFleet();
}

void Policy::Instance::countFleet() {
    if (settings.stickyKeys && rollout.completed())
        affinity.bindAll(rollout.current().build);
    // Expired here because queries may not reach these windows for a long time: without a canary
    // they would grow with every request.
    exposure.expire(now);
    analyzer.expire(now);
    fleet.count(endpoints, latencies, rollout.current().build, now);
}

void Policy::Instance::on(const ProbeEnded &probe) {
    Endpoint *endpoint = endpoints.find(probe.endpoint);
    if (!endpoint)
        return;
    balancer.recordLoad(*endpoint, probe.load, now);
    for (auto next = requests.begin(); next != requests.end();) {
        const auto position = next++;
        Request &request = position->second;
        if (request.awaitedLoadReports == 0 || !request.awaitsLoadOf(*endpoint))
            continue;
        --request.awaitedLoadReports;
        if (request.awaitedLoadReports == 0)
            dispatchOrWait(position);
    }
}

// ---- requests ----
void Policy::Instance::on(const RequestArrived &arrival) {
    const auto position =
        requests.try_emplace(arrival.requestId, Request{arrival, now, {}, false, {}, 0}).first;
    exposure.requestArrived(arrival.route, now);
    admission.requestArrived(arrival.tenant, now);
    retries.requestArrived();
    if (!queryLoad(position->second))
        dispatchOrWait(position);
}

void Policy::Instance::on(const RequestAbandoned &abandoned) {
    const auto position = requests.find(abandoned.requestId);
    if (position == requests.end())
        return;
    finish(position->second, false);
    cancelAttempts(position->second);
    dropIfDone(position);
}

void Policy::Instance::on(const AttemptEnded &end) {
    const auto position = requests.find(end.requestId);
    if (position == requests.end() ||
        std::size_t(end.attemptNumber) >= position->second.attempts.size())
        return;
    Request &request = position->second;
    Attempt &attempt = request.attempts[std::size_t(end.attemptNumber)];
    if (!attempt.inFlight)
        return;  // already reported: must not be counted twice or change the recorded outcome
    attempt.inFlight = false;
    attempt.outcome = end.outcome;
    attempt.endpoint->inFlight.erase({attempt.sentAt, end.requestId, request.arrival.route});
    affinity.attemptEnded(request.arrival.key, attempt.build);
    const bool succeeded = end.outcome == Outcome::ok;
    if (succeeded)
        admission.attemptAnswered(now);
    recordOutcome(request, attempt, end.outcome);
    if (end.requestEnded || succeeded) {
        if (!request.finished)
            cancelAttempts(request);
        finish(request, succeeded && now <= request.arrivedAt + route(request).latencyObjective);
    }
    if (request.finished)
        dropIfDone(position);
    else if (!request.outstanding())
        retryOrGiveUp(position);
}

void Policy::Instance::retryOrGiveUp(RequestPosition position) {
    Request &request = position->second;
    if (retries.endsWithinObjective(request, kMinRetryLatencyFraction * usualLatency(request),
                                    now) &&
        retries.mayRepeat(request, now) && retries.budgetLeft()) {
        retries.spendBudget();
        if (!dispatch(request))
            waitOrGiveUp(position);
        return;
    }
    giveUp(request);
    dropIfDone(position);
}

// Records the outcome of an attempt: session affinity, the endpoint's health and latency, the
// route's usual latency, and the evidence on the builds.
void Policy::Instance::recordOutcome(const Request &request, const Attempt &attempt,
                                     Outcome outcome) {
    affinity.bind(request.arrival.key, attempt.build, outcome);
    recordHealth(request, attempt, outcome);
    recordSample(request, attempt, outcome);
}

void Policy::Instance::recordHealth(const Request &request, const Attempt &attempt,
                                    Outcome outcome) {
    Endpoint &endpoint = *attempt.endpoint;
    const bool responded = outcome == Outcome::ok || outcome == Outcome::malformed ||
                           outcome == Outcome::error || outcome == Outcome::overloaded;
    if (outcome == Outcome::ok) {
        const double seconds = policy::toSeconds(now - attempt.sentAt);
        endpoint.latency.record(seconds / usualLatency(request), now);
        endpoint.health.succeeded();
        if (!rollout.isCanary(attempt.build) && !attempt.tooYoung &&
            analyzer.baselineServesMost(analysisContext()))
            latencies.learn(request.arrival.route, seconds);
        if (!attempt.tooYoung)
            fleet.recordAnswer(endpoint, now);
    } else if (responded) {
        endpoint.health.responded();
    } else if (outcome == Outcome::reset || outcome == Outcome::connectFailed ||
               endpoint.health.silentSince(attempt.sentAt)) {
        endpoints.recordUnanswered(endpoint, now);
    }
    if (responded)
        endpoint.health.setLastResponse(now);
}

void Policy::Instance::recordSample(const Request &request, const Attempt &attempt,
                                    Outcome outcome) {
    const Endpoint &endpoint = *attempt.endpoint;
    policy::AttemptSample sample{.endpoint = endpoint.entry.id,
                                 .build = attempt.build,
                                 .route = request.arrival.route,
                                 .sentAt = attempt.sentAt,
                                 .outcome = outcome,
                                 .tooYoung = attempt.tooYoung,
                                 .endpointUnresponsive = endpoint.health.unresponsive(),
                                 .slowness = policy::toSeconds(now - attempt.sentAt) /
                                             usualLatency(request),
                                 .previousErrorBuild = {}};
    if (request.attempts.size() > 1) {
        const Attempt &previous = request.attempts[request.attempts.size() - 2];
        if (!previous.inFlight && previous.outcome == Outcome::error)
            sample.previousErrorBuild = previous.build;
    }
    analyzer.recordAttempt(sample, analysisContext());
}

void Policy::Instance::on(const TimerFired &) {
    setTimer();
    admission.expire(now);
    if (settings.subscriptionRequired && !watching && now >= nextWatchAt)
        watchEndpoints();
    for (auto next = requests.begin(); next != requests.end();) {
        const auto position = next++;
        Request &request = position->second;
        if (request.finished)
            continue;
        if (request.outstanding())
            hedgeOrCancelSilent(request);
        else if (request.awaitedLoadReports == 0 ||
                 now >= request.arrivedAt + policy::kHousekeepingInterval)
            dispatchOrWait(position);
    }
}

// Hedges or cancels an attempt at an endpoint that has been silent for several times the usual
// latency, so that the request can go to another endpoint. Covers hung and dying endpoints and
// broken network links. Drawback: the work of a long request is lost.
void Policy::Instance::hedgeOrCancelSilent(Request &request) {
    const int last = int(request.attempts.size()) - 1;
    Attempt &attempt = request.attempts.back();
    const double usualSeconds = usualLatency(request);
    if (!retries.silentTooLong(attempt, usualSeconds, fleet.typicalSlowness(), now))
        return;
    if (last + 1 >= settings.maxAttempts || !retries.mayRepeat(request, now) ||
        !retries.budgetLeft() || !retries.endsWithinObjective(request, usualSeconds, now))
        return;
    attempt.abandoned = true;
    if (settings.hedgingAllowed) {
        endpoints.recordUnanswered(*attempt.endpoint, now);
        if (dispatch(request))
            retries.spendBudget();
    } else if (settings.cancellationAllowed) {
        actions.emplace_back(CancelAttempt{request.arrival.requestId, last});
    }
}

// ---- rollout ----
double Policy::Instance::firstAttemptShare() const {
    if (analyzer.paused())
        return 0;
    // Even without a slow canary, the share is limited if this gateway has shed recently. One of
    // many gateways sheds too rarely to know, so the limit always applies there.
    const bool limitToEvenShare =
        analyzer.evenShare() || policy::hasManyGateways(settings) || admission.shedRecently(now);
    return policy::canaryShare(rollout, fleet.summary(), limitToEvenShare);
}

policy::AnalysisContext Policy::Instance::analysisContext() const {
    return {.rollout = rollout,
            .fleet = fleet.summary(),
            .latencies = latencies,
            .canaryShare = firstAttemptShare(),
            .shedRecently = admission.shedRecently(now),
            .now = now};
}

void Policy::Instance::on(const RolloutUpdate &update) {
    if (update.isVoteReply)
        votes.replied(update.outcome, now);
    if (update.outcome != Outcome::ok)
        return;
    const policy::RolloutChange change = rollout.update(update, now);
    if (change == policy::RolloutChange::none)
        return;
    countFleet();
    if (update.phase == RolloutPhase::rollingBack || update.phase == RolloutPhase::rolledBack)
        affinity.release(update.build);
    analyzer.beginStage(change == policy::RolloutChange::build, now);
    votes.restart(analyzer.failed() ? Verdict::rollBack : Verdict::none, now);
}

void Policy::Instance::on(const UsageReport &report) {
    analyzer.recordUsage(report, analysisContext());
}

void Policy::Instance::on(const IncorrectResponseReported &report) {
    const Endpoint *endpoint = endpoints.find(report.endpoint);
    // The endpoint may run another build than when the attempt was sent.
    if (endpoint && rollout.known() &&
        endpoint->buildAt(now - report.age) == rollout.current().build)
        analyzer.recordIncorrectResponse(now);
}

Policy::Policy() = default;
Policy::~Policy() = default;

std::vector<Action> Policy::decide(GatewayId gateway, TimePoint now,
                                   const std::vector<Event> &events) {
    for (const Event &event : events) {
        if (std::holds_alternative<PolicyStopped>(event))
            instances.erase(gateway);
        if (const auto *start = std::get_if<PolicyStarted>(&event))
            instances[gateway] = std::make_unique<Instance>(start->settings, now);
        if (const auto found = instances.find(gateway); found != instances.end())
            found->second->handle(event, now);
    }
    const auto found = instances.find(gateway);
    return found == instances.end() ? std::vector<Action>{} : found->second->finishBatch();
}

}  // namespace deckcart
