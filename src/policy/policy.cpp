// The entry point of the decision core: events in, actions out. Callers reach it by Policy::decide,
// once for each gateway and batch. The interface is include/deckcart/policy.hpp; the decisions are
// in the modules beside this file.
#include <algorithm>
#include <deckcart/policy.hpp>
#include <utility>

#include "deployment_size.hpp"
#include "instance.hpp"

namespace deckcart {
namespace {

using namespace std::chrono_literals;

// The endpoint list is asked for again so long after a failure.
constexpr Duration kWatchRetry = 500ms;
// And if it does not come: after half of the time allowed, or this at least.
constexpr Duration kLeastWatchWait = 1s;
// A retry is worth it while half the usual latency is left: many answers come sooner.
constexpr double kRetryPart = 0.5;

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

void Policy::Instance::handle(const Event &event, TimePoint at) {
    now = at;
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
        if (votes.rollsBackAnew())
            log("vote back: " + votes.reason());
    }
    return std::exchange(actions, {});
}

// ---- endpoints ----
void Policy::Instance::watchEndpoints() {
    actions.emplace_back(WatchEndpoints{true});
    watchAgainAt = now + std::max<Duration>(settings.subscribeWithin / 2, kLeastWatchWait);
}

void Policy::Instance::on(const EndpointListFailed &) {
    watchAgainAt = now + kWatchRetry;
    watching = false;
}

void Policy::Instance::on(const EndpointListUpdate &list) {
    if (list.complete)
        endpoints.markAllLeft(now);
    // Who left long ago is forgotten, or addresses would add up; not before it would be warm again,
    // so that what it was sent while warming up still counts if it returns.
    endpoints.forgetLeft(slowStart.memory(), now, [&](const Endpoint &endpoint) {
        return std::ranges::any_of(requests, [&](const auto &item) {
            return item.second.awaitsLoadOf(endpoint) || item.second.triedAt(endpoint);
        });
    });
    analyzer.forgetEndpoints([&](const EndpointId &id) { return endpoints.contains(id); });
    endpoints.update(list.entries, random, now);
    watching = true;
    const auto &active = endpoints.active();
    rollout.setOldestListed(active.empty() ? std::nullopt : std::optional(active.begin()->first));
    countFleet();
}

void Policy::Instance::countFleet() {
    if (settings.stickyKeys && rollout.completed())
        affinity.bindAll(rollout.current().build);
    // Here, since nobody may read them for long: without a canary they would grow with every
    // request.
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
        const auto at = next++;
        Request &request = at->second;
        if (request.awaitedLoadReports == 0 || !request.awaitsLoadOf(*endpoint))
            continue;
        --request.awaitedLoadReports;
        if (request.awaitedLoadReports == 0)
            dispatchOrWait(at);
    }
}

// ---- requests ----
void Policy::Instance::on(const RequestArrived &arrival) {
    const auto at =
        requests.try_emplace(arrival.requestId, Request{arrival, now, {}, false, {}, 0}).first;
    exposure.requestAccepted(arrival.route, now);
    admission.requestAccepted(arrival.tenant, now);
    retries.requestAccepted();
    if (!queryLoad(at->second))
        dispatchOrWait(at);
}

void Policy::Instance::on(const RequestAbandoned &abandoned) {
    const auto at = requests.find(abandoned.requestId);
    if (at == requests.end())
        return;
    finish(at->second, false);
    cancelAttempts(at->second);
    dropIfDone(at);
}

void Policy::Instance::on(const AttemptEnded &end) {
    const auto at = requests.find(end.requestId);
    if (at == requests.end() || std::size_t(end.attemptNumber) >= at->second.attempts.size())
        return;
    Request &request = at->second;
    Attempt &attempt = request.attempts[std::size_t(end.attemptNumber)];
    if (!attempt.inFlight)
        return;  // reported before: it must not count twice, nor prove the contrary
    attempt.inFlight = false;
    attempt.outcome = end.outcome;
    attempt.endpoint->inFlight.erase({attempt.sentAt, end.requestId, request.arrival.route});
    affinity.attemptEnded(request.arrival.key, attempt.build);
    const bool done = end.outcome == Outcome::ok;
    if (done)
        admission.attemptAnswered(now);
    recordOutcome(request, attempt, end.outcome);
    if (end.requestEnded || done) {
        if (!request.finished)
            cancelAttempts(request);
        finish(request, done && now <= request.arrivedAt + route(request).latencyObjective);
    }
    if (request.finished)
        dropIfDone(at);
    else if (!request.outstanding())
        retryOrGiveUp(at);
}

void Policy::Instance::retryOrGiveUp(RequestPosition at) {
    Request &request = at->second;
    if (retries.inTime(request, kRetryPart * usualLatency(request), now) &&
        retries.mayRepeat(request, now) && retries.budgetLeft()) {
        retries.spendBudget();
        if (!dispatch(request))
            waitOrGiveUp(at);
        return;
    }
    giveUp(request);
    dropIfDone(at);
}

// Reads how an attempt ended: the endpoint's health and latency, the usual times, the evidence on
// the builds.
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
        if (!rollout.isCanary(attempt.build) && !attempt.warmingUp &&
            analyzer.baselineFullyLoaded(analysisContext()))
            latencies.learn(request.arrival.route, seconds);
        if (!attempt.warmingUp)
            fleet.recordAnswer(endpoint, now);
    } else if (responded) {
        endpoint.health.responded();
    } else if (outcome == Outcome::reset || outcome == Outcome::connectFailed ||
               endpoint.health.silentSince(attempt.sentAt)) {
        endpoints.recordUnanswered(endpoint, now);
    }
    if (responded)
        endpoint.health.heardFrom(now);
}

void Policy::Instance::recordSample(const Request &request, const Attempt &attempt,
                                    Outcome outcome) {
    const Endpoint &endpoint = *attempt.endpoint;
    policy::AttemptSample sample{.endpoint = endpoint.entry.id,
                                 .build = attempt.build,
                                 .route = request.arrival.route,
                                 .sentAt = attempt.sentAt,
                                 .outcome = outcome,
                                 .warmingUp = attempt.warmingUp,
                                 .endpointUnresponsive = endpoint.health.unresponsive(),
                                 .slowness = policy::toSeconds(now - attempt.sentAt) /
                                             usualLatency(request),
                                 .errorBefore = {}};
    if (request.attempts.size() > 1) {
        const Attempt &before = request.attempts[request.attempts.size() - 2];
        if (!before.inFlight && before.outcome == Outcome::error)
            sample.errorBefore = before.build;
    }
    analyzer.recordAttempt(sample, analysisContext());
}

void Policy::Instance::on(const TimerFired &) {
    setTimer();
    admission.expire(now);
    if (settings.subscriptionRequired && !watching && now >= watchAgainAt)
        watchEndpoints();
    for (auto next = requests.begin(); next != requests.end();) {
        const auto at = next++;
        Request &request = at->second;
        if (request.finished)
            continue;
        if (request.outstanding())
            checkSilence(request);
        else if (request.awaitedLoadReports == 0 ||
                 now >= request.arrivedAt + policy::kHousekeepingInterval)
            dispatchOrWait(at);
    }
}

// An attempt at an endpoint silent since for several times the usual is hedged or cancelled, so
// that the request can go elsewhere. Covers hung and dying endpoints, cut links. Harm: a long
// request's work is thrown away.
void Policy::Instance::checkSilence(Request &request) {
    const int last = int(request.attempts.size()) - 1;
    Attempt &attempt = request.attempts.back();
    const double usual = usualLatency(request);
    if (!retries.silentTooLong(attempt, usual, fleet.typicalSlowness(), now))
        return;
    if (last + 1 >= settings.maxAttempts || !retries.mayRepeat(request, now) ||
        !retries.budgetLeft() || !retries.inTime(request, usual, now))
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
    // At once where this gateway has shed of late (one of many sheds too seldom to know).
    const bool even =
        analyzer.evenShare() || policy::hasManyGateways(settings) || admission.shedRecently(now);
    return policy::canaryShare(rollout, fleet.summary(), even);
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
    // The id may have come to run another build since that attempt was sent.
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
