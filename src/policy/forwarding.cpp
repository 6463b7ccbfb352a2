// How a request reaches an endpoint: the order of builds, two choices within a build, the gate, and
// what becomes of a request that can't be forwarded.
#include <algorithm>
#include <string>
#include <utility>

#include "instance.hpp"

namespace deckcart {

// The gate that holds the five rules: the one place that every send passes.
bool Policy::Instance::mayForward(const Request &request, Endpoint &endpoint) {
    // every request one timely answer
    if (request.finished || now >= request.arrival.deadline || !retries.mayAttempt(request))
        return false;
    // no effect twice
    if (!retries.mayRepeat(request, now) || !retries.sharesDeduplication(request, endpoint))
        return false;
    // nothing new to endpoints that drain
    if (!endpoint.listed())
        return false;
    // exposure of unreleased builds
    const BuildNumber build = endpoint.entry.build;
    if (rollout.limited(build)) {
        if (rollout.step(build) < settings.idempotentOnlyStages &&
            route(request).idempotency != Idempotency::idempotent)
            return false;
        if (!exposure.withinLimit(build, request.arrival.route, rollout.exposureLimit(build), now))
            return false;
    }
    if (!affinity.allows(request.arrival.key, build, rollout.rolledBackBuild()))
        return false;
    // no overload of endpoints that are warming up
    return slowStart.withinBudget(endpoint.slowStart, endpoint.age(now), fleet.answersPerEndpoint(),
                                  now);
}

// The builds in the order in which this request should try them.
std::vector<BuildNumber> Policy::Instance::buildsFor(const Request &request) const {
    bool canaryFirst = false;
    if (rollout.inPhase(RolloutPhase::canary) && !analyzer.failed()) {
        const BuildNumber canary = rollout.current().build;
        const std::string &key = request.arrival.key;
        const double place = policy::stickyHash(
            key.empty() ? std::to_string(request.arrival.requestId) : key, std::uint64_t(canary));
        canaryFirst = place < firstAttemptShare();
        // A failed request's next attempt goes to the other build. Exception where keys are bound
        // to the canary once it has answered: what fails on the baseline is not sent there beyond
        // the share of first attempts. Guards against keys that failures bind, until they ask for
        // more than the limit and their requests wait. Harm: fewer pairs that speak for the canary.
        if (!request.attempts.empty())
            canaryFirst =
                !rollout.isCanary(request.attempts.back().build) &&
                (canaryFirst || !settings.stickyKeys ||
                 exposure.usesLessThan(policy::kFirstAttemptShare * rollout.exposureLimit(canary),
                                       canary, request.arrival.route));
    }
    return policy::buildOrder(endpoints.active(), rollout, canaryFirst);
}

// As a last resort ejected endpoints, those that were tried and any zone come into question.
std::vector<policy::Endpoint *> Policy::Instance::chooseTwo(const Request &request,
                                                            BuildNumber build, bool lastResort) {
    const auto at = endpoints.active().find(build);
    if (at == endpoints.active().end())
        return {};
    return balancer.chooseTwo(at->second, random, lastResort, [&](Endpoint &endpoint) {
        return (lastResort || (!endpoint.health.ejected(now) && !request.triedAt(endpoint))) &&
               mayForward(request, endpoint);
    });
}

// Probes the two choices if their load should be known first; returns whether it did.
bool Policy::Instance::queryLoad(Request &request) {
    if (!balancer.queriesLoad())
        return false;
    for (const BuildNumber build : buildsFor(request))
        if (request.candidates.empty())
            request.candidates = chooseTwo(request, build, false);
    if (request.candidates.size() < 2)
        return false;
    for (const Endpoint *endpoint : request.candidates)
        actions.emplace_back(ProbeEndpoint{endpoint->entry.id});
    request.awaitedLoadReports = request.candidates.size();
    return true;
}

// Returns whether an attempt went out, or the request was shed.
bool Policy::Instance::dispatch(Request &request) {
    std::erase_if(request.candidates, [&](Endpoint *endpoint) {
        return endpoint->health.ejected(now) || !mayForward(request, *endpoint);
    });
    if (dispatchAmong(request, std::exchange(request.candidates, {})))
        return true;
    const auto builds = buildsFor(request);
    for (const bool lastResort : {false, true})
        for (const BuildNumber build : builds)
            if (dispatchAmong(request, chooseTwo(request, build, lastResort)))
                return true;
    return false;
}

bool Policy::Instance::dispatchAmong(Request &request, const std::vector<Endpoint *> &candidates) {
    Endpoint *best = balancer.leastLoaded(candidates, latencies, now);
    if (!best)
        return false;
    if (request.attempts.empty() && shouldShed(request))
        giveUp(request);
    else
        send(request, *best);
    return true;
}

void Policy::Instance::send(Request &request, Endpoint &endpoint) {
    if (!mayForward(request, endpoint))
        return;
    const EndpointEntry &entry = endpoint.entry;
    const Duration age = endpoint.age(now);
    request.attempts.push_back({.endpoint = &endpoint,
                                .build = entry.build,
                                .zone = entry.zone,
                                .cell = entry.cell,
                                .sentAt = now,
                                .warmingUp = age < slowStart.evidenceAge()});
    endpoint.inFlight.insert({now, request.arrival.requestId, request.arrival.route});
    if (slowStart.warmingUp(age))
        endpoint.slowStart.sends.push_back(now);
    affinity.attemptSent(request.arrival.key, entry.build);
    if (rollout.limited(entry.build))
        exposure.attemptSent(entry.build, request.arrival.route, now);
    actions.emplace_back(SendAttempt{request.arrival.requestId, entry.id});
}

void Policy::Instance::dispatchOrWait(RequestPosition at) {
    Request &request = at->second;
    request.awaitedLoadReports = 0;
    if (!dispatch(request))
        waitOrGiveUp(at);
    else if (request.finished)
        dropIfDone(at);
}

// A request that can go nowhere waits while an answer in time can still be had, and no longer.
void Policy::Instance::waitOrGiveUp(RequestPosition at) {
    Request &request = at->second;
    if (retries.worthWaiting(request, usualLatency(request), now))
        return;
    giveUp(request);
    dropIfDone(at);
}

bool Policy::Instance::shouldShed(const Request &request) {
    return admission.shouldShed(request.arrival.tenant, usualLatency(request),
                                route(request).latencyObjective,
                                policy::inFlightLoad(requests, latencies, now), random, now);
}

// The final answer of a request that is given up: shed where that is true, failed else.
void Policy::Instance::giveUp(Request &request) {
    if (request.finished)
        return;
    finish(request, false);
    const bool mayShed = retries.mayShed(request);
    cancelAttempts(request);
    if (mayShed)
        actions.emplace_back(ShedRequest{request.arrival.requestId, admission.retryAfter()});
    else
        actions.emplace_back(FailRequest{request.arrival.requestId});
}

void Policy::Instance::finish(Request &request, bool inTime) {
    if (!request.finished)
        admission.requestFinished(request.arrival.tenant, inTime, now);
    request.finished = true;
}

void Policy::Instance::cancelAttempts(const Request &request) {
    if (!settings.cancellationAllowed)
        return;
    for (std::size_t number = 0; number < request.attempts.size(); ++number)
        if (request.attempts[number].inFlight)
            actions.emplace_back(CancelAttempt{request.arrival.requestId, int(number)});
}

void Policy::Instance::dropIfDone(RequestPosition at) {
    if (!at->second.outstanding())
        requests.erase(at);
}

}  // namespace deckcart
