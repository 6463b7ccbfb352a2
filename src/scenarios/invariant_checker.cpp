#include "invariant_checker.hpp"

#include <algorithm>
#include <set>
#include <stdexcept>
#include <unordered_map>

namespace deckcart::scenarios {
namespace {

std::string formatSeconds(Duration time) {
    const auto wholeMilliseconds =
        double(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    return std::to_string(wholeMilliseconds / 1000) + " s";
}

struct InvariantChecker {
    const Records &records;
    const RuleParameters &parameters;
    std::vector<Violation> violations;
    std::unordered_map<std::string, const ClientRecord *> clientById;
    std::unordered_map<std::string, std::vector<const EndpointRecord *>>
        attemptsById;  // by request, ordered by time

    void addViolation(Rule rule, std::string requestId, Duration time, std::string description) {
        violations.push_back({rule, std::move(requestId), time, std::move(description)});
    }
    const Route &route(const ClientRecord &client) const {
        return parameters.routes.at(std::size_t(client.route));
    }

    void indexRecords() {
        for (const auto &client : records.clients)
            if (!clientById.emplace(client.requestId, &client).second)
                throw std::invalid_argument("duplicate client request id: " + client.requestId);
        for (const auto &attempt : records.instances)
            attemptsById[attempt.requestId].push_back(&attempt);
        for (auto &[requestId, requestAttempts] : attemptsById)
            std::ranges::stable_sort(requestAttempts, {}, [](const EndpointRecord *attempt) {
                return attempt->receivedAt;
            });
    }

    // Whether the gateway was unable to respond: it was killed while the client waited, or stopped
    // when the client gave up.
    bool gatewayWasUnavailable(const ClientRecord &client) const {
        return std::ranges::any_of(records.halts, [&](const GatewayHalt &h) {
            if (h.gateway != client.gateway)
                return false;
            if (h.kind == HaltKind::killed)
                return h.from <= client.givesUp && h.until >= client.sent;
            return h.from <= client.givesUp && h.until + parameters.slack >= client.givesUp;
        });
    }

    void checkOneAnswer() {
        for (const auto &client : records.clients) {
            if (client.sent == Duration{0} || client.end == ClientEnd::unreached)
                continue;
            if (client.answers > 1)
                addViolation(Rule::oneAnswer, client.requestId, client.answered,
                             std::to_string(client.answers) + " responses received");
            if (client.answers == 0 && !gatewayWasUnavailable(client))
                addViolation(Rule::oneAnswer, client.requestId, client.givesUp,
                             client.end == ClientEnd::cut
                                 ? "its connection was closed without a response"
                                 : "sent at " + formatSeconds(client.sent) +
                                       ", no response until the client gave up");
            if (client.answers > 0 && client.answered > client.givesUp + parameters.slack &&
                !gatewayWasUnavailable(client))
                addViolation(Rule::oneAnswer, client.requestId, client.answered,
                             "response received after the client gave up at " +
                                 formatSeconds(client.givesUp));
            const auto requestAttempts = attemptsById.find(client.requestId);
            if (requestAttempts == attemptsById.end() || client.answered == Duration{0})
                continue;
            for (const auto *attempt : requestAttempts->second)
                if (attempt->receivedAt > client.answered + parameters.slack &&
                    !haltedDuring(client.gateway, client.answered, attempt->receivedAt))
                    addViolation(Rule::oneAnswer, client.requestId, attempt->receivedAt,
                                 "sent to " + attempt->endpoint + " after its final response at " +
                                     formatSeconds(client.answered));
        }
    }
    // A halt within the interval excuses a late arrival: an endpoint may read late what a stopped
    // gateway had already written to its sockets.
    bool haltedDuring(int gateway, Duration from, Duration until) const {
        return std::ranges::any_of(records.halts, [&](const GatewayHalt &h) {
            return h.gateway == gateway && h.from <= until && h.until >= from;
        });
    }

    void checkNoEffectTwice() {
        for (const auto &[requestId, requestAttempts] : attemptsById) {
            const auto client = clientById.find(requestId);
            if (client == clientById.end())
                continue;
            const Route &requestRoute = route(*client->second);
            if (requestRoute.idempotency == Idempotency::idempotent)
                continue;
            const EndpointRecord *firstRun = nullptr;
            for (const auto *attempt : requestAttempts) {
                if (firstRun && requestRoute.idempotency == Idempotency::nonIdempotent)
                    addViolation(Rule::noEffectTwice, requestId, attempt->receivedAt,
                                 "non-idempotent, sent to " + attempt->endpoint +
                                     " although it may have run on " + firstRun->endpoint + " at " +
                                     formatSeconds(firstRun->receivedAt));
                if (firstRun && requestRoute.idempotency == Idempotency::withKey) {
                    if (attempt->receivedAt >
                        firstRun->receivedAt + requestRoute.deduplicationWindow + parameters.slack)
                        addViolation(Rule::noEffectTwice, requestId, attempt->receivedAt,
                                     "idempotent with a key, sent again to " + attempt->endpoint +
                                         " after the deduplication window from " +
                                         formatSeconds(firstRun->receivedAt));
                    const bool inGroup =
                        requestRoute.deduplicationScope == DeduplicationScope::all ||
                        (attempt->zone == firstRun->zone &&
                         (requestRoute.deduplicationScope == DeduplicationScope::zone ||
                          attempt->cell == firstRun->cell));
                    if (!inGroup)
                        addViolation(Rule::noEffectTwice, requestId, attempt->receivedAt,
                                     "idempotent with a key, sent again to " + attempt->endpoint +
                                         " outside the deduplication scope of " +
                                         firstRun->endpoint);
                }
                if (attempt->mayHaveRun && !firstRun)
                    firstRun = attempt;
            }
            const bool sheddable = requestRoute.idempotency == Idempotency::withKey &&
                                   requestRoute.deduplicationScope == DeduplicationScope::all;
            if (firstRun && client->second->end == ClientEnd::shed && !sheddable &&
                firstRun->receivedAt < client->second->answered)
                addViolation(Rule::noEffectTwice, requestId, client->second->answered,
                             "shed although it may have run on " + firstRun->endpoint);
        }
    }

    // Whether the gateway was not killed in the interval. A killed gateway loses what it was told
    // before.
    bool notKilledDuring(int gateway, Duration from, Duration until) const {
        return std::ranges::none_of(records.halts, [&](const GatewayHalt &h) {
            return h.gateway == gateway && h.kind == HaltKind::killed && h.from <= until &&
                   h.until >= from;
        });
    }

    void checkDrains() {
        std::map<std::pair<int, EndpointId>, std::vector<const EndpointNotification *>>
            notifications;
        for (const auto &notification : records.endpoints)
            notifications[{notification.gateway, notification.endpoint}].push_back(&notification);
        for (const auto &attempt : records.instances) {
            const auto client = clientById.find(attempt.requestId);
            if (client == clientById.end())
                continue;
            const int gateway = client->second->gateway;
            const auto ofEndpoint = notifications.find({gateway, attempt.endpoint});
            if (ofEndpoint == notifications.end())
                continue;
            const EndpointNotification *drainStart =
                nullptr;  // first "not active" notification since the last "active" one
            for (const auto *notification : ofEndpoint->second) {
                if (notification->at > attempt.receivedAt)
                    break;
                if (notification->state == EndpointState::active)
                    drainStart = nullptr;
                else if (!drainStart)
                    drainStart = notification;
            }
            if (drainStart &&
                attempt.receivedAt > drainStart->at + parameters.drainGrace + parameters.slack &&
                notKilledDuring(gateway, drainStart->at, attempt.receivedAt) &&
                !haltedDuring(gateway, drainStart->at, attempt.receivedAt))
                addViolation(Rule::drains, attempt.requestId, attempt.receivedAt,
                             "sent to " + attempt.endpoint + ", which gateway " +
                                 std::to_string(gateway) + " was told at " +
                                 formatSeconds(drainStart->at) + " to drain");
        }
    }

    void checkSlowStart() {
        for (const auto &overload : records.overloadedEndpoints) {
            std::size_t total = 0, informed = 0;
            for (const auto &attempt : records.instances) {
                if (attempt.endpoint != overload.endpoint || attempt.receivedAt < overload.from ||
                    attempt.receivedAt > overload.until)
                    continue;
                ++total;
                const auto client = clientById.find(attempt.requestId);
                if (client == clientById.end())
                    continue;
                informed += std::ranges::any_of(
                    records.endpoints, [&](const EndpointNotification &notification) {
                        return notification.gateway == client->second->gateway &&
                               notification.endpoint == attempt.endpoint &&
                               notification.startedNow && notification.at <= attempt.receivedAt;
                    });
            }
            if (3 * informed >= 2 * total)
                addViolation(Rule::slowStart, overload.endpoint, overload.until,
                             "overloaded during warm-up: " + std::to_string(total) +
                                 " attempts since " + formatSeconds(overload.from) + ", " +
                                 std::to_string(informed) +
                                 " from gateways that knew of its start");
        }
    }

    bool isCanary(const RolloutNotification *rollout, BuildNumber build) const {
        if (!rollout)
            return build > parameters.firstBuild;
        return build > rollout->build ||
               (build == rollout->build && rollout->phase != RolloutPhase::released);
    }
    double exposureLimit(const RolloutNotification *rollout, BuildNumber build) const {
        if (!isCanary(rollout, build))
            return 1e9;
        return rollout && rollout->build == build ? rollout->exposureLimit
                                                  : parameters.firstExposureLimit;
    }

    void checkExposure() {
        std::map<int, std::vector<RolloutNotification>> notificationsOf;
        for (const auto &notification : records.releases)
            notificationsOf[notification.gateway].push_back(notification);
        struct Send {
            Duration at;
            const EndpointRecord *attempt;
            const ClientRecord *client;
        };
        std::map<std::tuple<int, BuildNumber, int>, std::vector<Send>>
            sends;  // by gateway, build and route, -1: all routes
        std::map<std::pair<int, int>, std::vector<Duration>>
            acceptedTimes;  // by gateway and route, -1: all
        const auto routeOrAll = [&](int route) { return parameters.exposurePerRoute ? route : -1; };
        for (const auto &client : records.clients)
            if (client.sent != Duration{0} && client.end != ClientEnd::unreached)
                acceptedTimes[{client.gateway, routeOrAll(client.route)}].push_back(client.sent);
        for (auto &[key, times] : acceptedTimes)
            std::ranges::sort(times);
        for (const auto &attempt : records.instances) {
            const auto client = clientById.find(attempt.requestId);
            if (client != clientById.end())
                sends[{client->second->gateway, attempt.build, routeOrAll(client->second->route)}]
                    .push_back({attempt.receivedAt, &attempt, client->second});
        }
        for (auto &[key, group] : sends) {
            const auto &[gateway, build, routeIndex] = key;
            std::ranges::sort(group, {}, &Send::at);
            const auto &notifications = notificationsOf[gateway];
            const auto &requestTimes = acceptedTimes[{gateway, routeIndex}];
            for (std::size_t index = 0; index < group.size(); ++index) {
                const Duration now = group[index].at;
                // A gateway may apply the notification that was in force one drain grace ago or any
                // later one; the loosest of them sets the limit.
                const RolloutNotification *beforeGrace = nullptr;
                std::vector<const RolloutNotification *> applicable;
                for (const auto &notification : notifications) {
                    if (notification.at <= now - parameters.drainGrace - parameters.slack)
                        beforeGrace = &notification;
                    else if (notification.at <= now)
                        applicable.push_back(&notification);
                }
                if (!beforeGrace || !notKilledDuring(gateway, beforeGrace->at, now))
                    applicable.push_back(nullptr);
                if (beforeGrace)
                    applicable.push_back(beforeGrace);
                double limit = 0;
                bool canary = true, idempotentOnly = true;
                for (const auto *notification : applicable) {
                    limit = std::max(limit, exposureLimit(notification, build));
                    canary = canary && isCanary(notification, build);
                    idempotentOnly = idempotentOnly && (notification && notification->build == build
                                                            ? notification->step
                                                            : 0) < parameters.idempotentOnlyStages;
                }
                if (!canary)
                    continue;
                if (idempotentOnly &&
                    route(*group[index].client).idempotency != Idempotency::idempotent)
                    addViolation(Rule::exposure, group[index].attempt->requestId, now,
                                 "not idempotent, sent to build " + std::to_string(build) +
                                     " in a stage for idempotent requests only");
                // Counting restarts where a lower exposure limit took effect or the build became a
                // canary.
                Duration from = now - parameters.exposureWindow;
                for (std::size_t position = 0; position < notifications.size(); ++position) {
                    const RolloutNotification *prior =
                        position ? &notifications[position - 1] : nullptr;
                    if (notifications[position].at <= now &&
                        exposureLimit(&notifications[position], build) <
                            exposureLimit(prior, build))
                        from = std::max(from, notifications[position].at + parameters.drainGrace);
                }
                const auto sentSince = std::ranges::count_if(
                    group, [&](const Send &s) { return s.at > from && s.at <= now; });
                const auto accepted =
                    std::ranges::upper_bound(requestTimes, now + parameters.slack) -
                    std::ranges::lower_bound(requestTimes,
                                             now - parameters.exposureWindow - parameters.slack);
                if (double(sentSince) >
                        parameters.exposureAllowance + limit * double(accepted) + 1e-9 &&
                    !haltedDuring(gateway, from, now))
                    addViolation(Rule::exposure, group[index].attempt->requestId, now,
                                 "gateway " + std::to_string(gateway) + " sent " +
                                     std::to_string(sentSince) + " attempts to build " +
                                     std::to_string(build) + " since " + formatSeconds(from) +
                                     "; " + std::to_string(accepted) +
                                     " requests at an exposure limit of " + std::to_string(limit) +
                                     " allow fewer");
            }
        }
    }

    void checkStickyKeys() {
        if (!parameters.stickyKeys)
            return;
        std::map<std::pair<int, std::string>, std::vector<const ClientRecord *>> completedByKey;
        for (const auto &client : records.clients)
            if (client.end == ClientEnd::completed && !client.key.empty())
                completedByKey[{client.gateway, client.key}].push_back(&client);
        for (const auto &attempt : records.instances) {
            const auto client = clientById.find(attempt.requestId);
            if (client == clientById.end())
                continue;
            const int gateway = client->second->gateway;
            const auto completed = completedByKey.find({gateway, client->second->key});
            if (completed == completedByKey.end())
                continue;
            for (const auto *earlier : completed->second) {
                if (earlier->build <= attempt.build ||
                    earlier->answered + parameters.slack >= attempt.receivedAt)
                    continue;
                if (!notKilledDuring(gateway, earlier->answered, attempt.receivedAt))
                    continue;
                const bool rolledBack = std::ranges::any_of(
                    records.releases, [&](const RolloutNotification &notification) {
                        return notification.gateway == gateway &&
                               notification.at <= attempt.receivedAt &&
                               notification.build >= earlier->build &&
                               notification.at >= earlier->answered - parameters.slack &&
                               (notification.phase == RolloutPhase::rollingBack ||
                                notification.phase == RolloutPhase::rolledBack);
                    });
                if (rolledBack)
                    continue;
                addViolation(Rule::exposure, attempt.requestId, attempt.receivedAt,
                             "key " + client->second->key + " sent to build " +
                                 std::to_string(attempt.build) + " after build " +
                                 std::to_string(earlier->build) + " answered it at " +
                                 formatSeconds(earlier->answered));
                break;
            }
        }
    }
};

}  // namespace

const char *nameOf(Rule rule) {
    switch (rule) {
    case Rule::oneAnswer:
        return "no request is lost";
    case Rule::noEffectTwice:
        return "no effect happens twice";
    case Rule::drains:
        return "drains are respected";
    case Rule::slowStart:
        return "a cold endpoint is not overloaded";
    case Rule::exposure:
        return "exposure stays within its limit";
    }
    return "";
}

std::vector<Violation> audit(const Records &records, const RuleParameters &parameters) {
    InvariantChecker checker{records, parameters, {}, {}, {}};
    checker.indexRecords();
    checker.checkOneAnswer();
    checker.checkNoEffectTwice();
    checker.checkDrains();
    checker.checkSlowStart();
    checker.checkExposure();
    checker.checkStickyKeys();
    std::ranges::stable_sort(checker.violations, {}, &Violation::at);
    return std::move(checker.violations);
}

}  // namespace deckcart::scenarios
