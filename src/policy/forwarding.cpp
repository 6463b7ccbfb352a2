// Forwarding of a request to an endpoint: order of builds, power of two choices within a build,
// checks before each attempt, and what happens to a request that can't be forwarded.
#include <algorithm>
#include <string>
#include <utility>

#include "instance.hpp"

namespace deckcart {

// Checks all rules of forwarding. Every attempt passes here before it is sent.
bool Policy::Instance::mayForward(const Request &request, Endpoint &endpoint) {
    // every request gets one response, in time
    if (request.finished || now >= request.arrival.deadline || !retries.mayAttempt(request))
        return false;
    // no request takes effect twice
    if (!retries.mayRepeat(request, now) || !retries.sharesDeduplication(request, endpoint))
        return false;
    // no new attempts at draining endpoints
    if (!endpoint.active())
        return false;
    // limited exposure of unreleased builds
    const BuildNumber build = endpoint.entry.build;
    if (rollout.limited(build)) {
        if (rollout.step(build) < settings.idempotentOnlyStages &&
            route(request).idempotency != Idempotency::idempotent)
            return false;
        if (!exposure.withinLimit(build, request.arrival.route, rollout.exposureLimit(build), now))
            return false;
    }
    // no return of a key to an older build
    if (!affinity.allows(request.arrival.key, build, rollout.rolledBackBuild()))
        return false;
    // no overload of endpoints that are warming up
    return slowStart.withinBudget(endpoint.slowStart, endpoint.age(now), fleet.answersPerEndpoint(),
                                  now);
}

// Returns the builds in the order in which this request should try them.
std::vector<BuildNumber> Policy::Instance::buildsFor(const Request &request) const {
    bool canaryFirst = false;
    if (rollout.inPhase(RolloutPhase::canary) && !analyzer.failed()) {
        const BuildNumber canary = rollout.current().build;
        const std::string &key = request.arrival.key;
        const double hashPosition = policy::stickyHash(
            key.empty() ? std::to_string(request.arrival.requestId) : key, std::uint64_t(canary));
        canaryFirst = hashPosition < firstAttemptShare();
        // After a failure the next attempt goes to the other build. Where keys stick to the canary
        // once it has answered, a request that failed on the baseline goes there only within the
        // canary's share of first attempts: otherwise failures would bind keys until they exceed
        // the exposure limit and their requests wait. Drawback: fewer requests show that the canary
        // succeeds where the baseline failed.
        if (!request.attempts.empty())
            canaryFirst =
                !rollout.isCanary(request.attempts.back().build) &&
                (canaryFirst || !settings.stickyKeys ||
                 exposure.usesLessThan(policy::kFirstAttemptShare * rollout.exposureLimit(canary),
                                       canary, request.arrival.route));
    }
    return policy::buildOrder(endpoints.active(), rollout, canaryFirst);
}

// `lastResort` also admits ejected endpoints, endpoints that the request has tried, and any zone.
std::vector<policy::Endpoint *> Policy::Instance::chooseTwo(const Request &request,
                                                            BuildNumber build, bool lastResort) {
    const auto position = endpoints.active().find(build);
    if (position == endpoints.active().end())
        return {};
    return balancer.chooseTwo(position->second, random, lastResort, [&](Endpoint &endpoint) {
        return (lastResort || (!endpoint.health.ejected(now) && !request.triedAt(endpoint))) &&
               mayForward(request, endpoint);
    });
}

// Probes the load of the two choices if required; returns whether it did.
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

// Returns whether an attempt was sent or the request was shed.
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
                                .tooYoung = age < slowStart.evidenceAge()});
    endpoint.inFlight.insert({now, request.arrival.requestId, request.arrival.route});
    if (slowStart.warmingUp(age))
        endpoint.slowStart.sends.push_back(now);
    affinity.attemptSent(request.arrival.key, entry.build);
    if (rollout.limited(entry.build))
        exposure.attemptSent(entry.build, request.arrival.route, now);
    actions.emplace_back(SendAttempt{request.arrival.requestId, entry.id});
}

void Policy::Instance::dispatchOrWait(RequestPosition position) {
    Request &request = position->second;
    request.awaitedLoadReports = 0;
    if (!dispatch(request))
        waitOrGiveUp(position);
    else if (request.finished)
        dropIfDone(position);
}

// Keeps a request that can't be forwarded waiting while it can still be answered in time.
void Policy::Instance::waitOrGiveUp(RequestPosition position) {
    Request &request = position->second;
    if (retries.worthWaiting(request, usualLatency(request), now))
        return;
    giveUp(request);
    dropIfDone(position);
}

bool Policy::Instance::shouldShed(const Request &request) {
    return admission.shouldShed(request.arrival.tenant, usualLatency(request),
                                route(request).latencyObjective,
                                policy::inFlightLoad(requests, latencies, now), random, now);
}

// Gives up on the request: sheds it if that is safe, otherwise fails it.
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

void Policy::Instance::dropIfDone(RequestPosition position) {
    if (!position->second.outstanding())
        requests.erase(position);
}

}  // namespace deckcart
