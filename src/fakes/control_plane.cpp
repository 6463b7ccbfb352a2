#include "control_plane.hpp"

#include <algorithm>
#include <array>
#include <cmath>

#include "../base/address.hpp"

namespace deckcart::fakes {

using nlohmann::json;

namespace {

constexpr BuildNumber kFirstBuild = 1;
constexpr auto kStartupTime = std::chrono::milliseconds(300),
               kDrainTime = std::chrono::milliseconds(1500);
constexpr auto kBaselineRetention =
    std::chrono::seconds(6);  // baseline endpoints keep running this long after a release

std::string queryParameter(const std::string &target, const std::string &name) {
    const auto position = target.find(name + "=");
    if (position == std::string::npos)
        return {};
    const auto valueStart = position + name.size() + 1;
    return target.substr(valueStart, target.find('&', valueStart) - valueStart);
}

void respond(http::Exchange &exchange, int status, const json &body) {
    http::ResponseHead head;
    head.status = status, head.headers = {{"Content-Type", "application/json"}};
    exchange.answer(std::move(head), body.dump() + "\n");
}

}  // namespace

FakeControlPlane::FakeControlPlane(asio::io_context &io, FakeEnvironment &shared,
                                   std::uint64_t seed)
    : context(io), environment(shared), rng(seed),
      listener(io, *parseAddress("127.0.0.1:0"), {},
               [this](const std::shared_ptr<http::Exchange> &exchange) { serve(exchange); }) {
    current = {kFirstBuild, int(shared.scenario.stageShares.size()) - 1, RolloutPhase::released, 1,
               Duration{0}};
    stageSince = shared.clock.now() - std::chrono::hours(1);
}

void FakeControlPlane::start() {
    startEndpoints(kFirstBuild, environment.scenario.endpointCount, true);
    publishedStage = toJson(stageWithAge()), publishedSince = stageSince;
    started = true;
}

RolloutStage FakeControlPlane::stageWithAge() const {
    RolloutStage stage = current;
    stage.age = environment.clock.now() - stageSince;
    return stage;
}

Duration FakeControlPlane::notificationDelay() {
    const double span = double(
        (environment.scenario.maxNotificationDelay - environment.scenario.minNotificationDelay)
            .count());
    return environment.scenario.minNotificationDelay +
           Duration{std::llround(span * std::generate_canonical<double, 32>(rng))};
}

int FakeControlPlane::canariesAtStage(int step) const {
    const auto share = environment.scenario.stageShares[std::size_t(step)];
    return std::max(1, int(std::lround(share * environment.scenario.endpointCount)));
}

std::vector<FakeEndpoint *> FakeControlPlane::runningEndpoints(const std::string &target) const {
    std::vector<FakeEndpoint *> matching;
    for (const auto &entry : managed) {
        if (entry.endpoint->isDown() || !entry.running || entry.state != EndpointState::active)
            continue;
        const bool isCanary = entry.endpoint->build() == environment.canaryBuild;
        if (target == "any" || (target == "trial") == isCanary)
            matching.push_back(entry.endpoint.get());
    }
    return matching;
}

int FakeControlPlane::countRunning(BuildNumber build) const {
    return int(std::ranges::count_if(managed, [&](const ManagedEndpoint &m) {
        return m.endpoint->build() == build && m.running && m.state == EndpointState::active &&
               !m.endpoint->isDown();
    }));
}

void FakeControlPlane::startEndpoints(BuildNumber build, int wanted, bool warm) {
    int running = int(std::ranges::count_if(managed, [&](const ManagedEndpoint &entry) {
        return entry.endpoint->build() == build && entry.state == EndpointState::active &&
               !entry.endpoint->isDown();
    }));
    for (; running < wanted; ++running) {
        ManagedEndpoint entry;
        const int zone = startCount % int(environment.scenario.zones.size());
        entry.endpoint = std::make_unique<FakeEndpoint>(context, environment, build, zone,
                                                        rng() + std::uint64_t(++startCount));
        entry.runsAt = environment.clock.now() + (warm ? Duration{0} : Duration{kStartupTime});
        if (warm)
            entry.endpoint->makeWarm();
        managed.push_back(std::move(entry));
        if (!warm)
            continue;
        managed.back().running = true;
        publishEndpoint(managed.back());  // without delay, as the scenario has not started
    }
}

void FakeControlPlane::publishEndpoint(const ManagedEndpoint &entry) {
    ListedEndpoint listed;
    listed.id = entry.endpoint->id(),
    listed.zone = environment.scenario.zones[std::size_t(entry.endpoint->zone())],
    listed.build = entry.endpoint->build();
    listed.state = entry.state,
    listed.incarnation = std::to_string(entry.endpoint->startedAt().count());
    json document = toJson(listed);
    // sendEvents() replaces it with the age at the time of sending.
    document["startedUs"] = entry.endpoint->startedAt().count();
    publish({{"kind", "instances"}, {"instances", json::array({std::move(document)})}},
            started ? notificationDelay() + listDelay : Duration{0});
}

void FakeControlPlane::publish(json event, Duration delay) {
    // Events of one kind are delivered in order.
    Duration &due = event["kind"] == "instances" ? listDue : stageDue;
    const Duration at = environment.clock.now();
    if (delay > Duration{0})
        due = std::max(due, at + delay), delay = due - at;
    auto deliver = [this, event = std::move(event)]() mutable {
        if (event["kind"] == "instances")
            for (const auto &entry : event["instances"]) {
                if (entry["readiness"] == "gone")
                    published.erase(entry["id"].get<std::string>());
                else
                    published[entry["id"].get<std::string>()] = entry;
            }
        if (event["kind"] == "instances" && nameServers) {
            updateNameServers();
            event = {{"kind", "bookmark"}};
        }
        if (event["kind"] == "stage")
            publishedStage = event["stage"],
            publishedSince = Duration{event["sinceUs"].get<std::int64_t>()};
        event["version"] = events.size() + 1;
        events.push_back(std::move(event));
        for (const auto &watcher : std::vector(watchers))
            sendEvents(*watcher);
    };
    if (delay <= Duration{0})
        return deliver();
    const auto timer = std::make_shared<asio::steady_timer>(context, delay);
    timer->async_wait([deliver = std::move(deliver), timer](asio::error_code fault) mutable {
        if (!fault)
            deliver();
    });
}

// DNS cannot express draining: the record of a draining endpoint is removed.
void FakeControlPlane::updateNameServers() {
    std::vector<FleetNames::ListedEndpointRecord> fleet;
    for (const auto &[id, entry] : published)
        if (entry["readiness"] == "live")
            fleet.push_back(
                {id, entry["build"].get<BuildNumber>(), entry["zone"].get<std::string>()});
    nameServers->serve(std::move(fleet));
}

// Records what the gateway is being told.
void FakeControlPlane::recordNotifications(int gateway, const json &event) {
    const Duration at = environment.clock.now();
    if (event.contains("instances"))
        for (const auto &entry : event["instances"]) {
            const ListedEndpoint listed = readListedEndpoint(entry);
            environment.records.endpoints.push_back(
                {gateway, at, listed.id, listed.build, listed.state,
                 listed.age && *listed.age < environment.scenario.warmUpTime});
        }
    if (event.contains("stage")) {
        const RolloutStage stage = readStage(event["stage"]);
        environment.records.releases.push_back(
            {gateway, at, stage.build, stage.step, stage.phase, stage.exposureLimit});
    }
}

void FakeControlPlane::sendEvents(Watcher &watcher) {
    if (listFails)
        return watcher.exchange->abort();
    while (watcher.next < events.size() && watcher.exchange->open()) {
        json event = events[watcher.next++];
        if (event.contains("instances"))
            for (auto &entry : event["instances"])
                entry["ageMs"] = milliseconds(environment.clock.now() -
                                              Duration{entry["startedUs"].get<std::int64_t>()});
        if (event.contains("stage")) {
            // The age is that at the time of sending.
            const Duration age =
                environment.clock.now() - Duration{event["sinceUs"].get<std::int64_t>()};
            event["stage"]["sinceMs"] = milliseconds(age);
        }
        recordNotifications(watcher.gateway, event);
        watcher.exchange->write(event.dump() + "\n");
    }
}

void FakeControlPlane::serve(const std::shared_ptr<http::Exchange> &exchange) {
    const auto &target = exchange->head.target;
    if (target.starts_with("/v1/votes"))
        return vote(exchange);
    if (listFails)
        return respond(*exchange, 503, json::object());
    const std::string gateway = queryParameter(target, "gateway");
    const int gatewayIndex = gateway.size() > 1 ? std::atoi(gateway.c_str() + 1) : 0;
    const std::string from = queryParameter(target, "watch");
    if (from.empty())
        return list(*exchange, gatewayIndex);
    watch(exchange, gatewayIndex, std::size_t(std::strtoull(from.c_str(), nullptr, 10)));
}

void FakeControlPlane::list(http::Exchange &exchange, int gateway) {
    json entries = json::array();
    for (auto &[id, entry] : published) {
        if (nameServers)
            break;
        json one = entry;
        one["ageMs"] =
            milliseconds(environment.clock.now() - Duration{one["startedUs"].get<std::int64_t>()});
        entries.push_back(std::move(one));
    }
    json body{
        {"version", events.size()}, {"instances", std::move(entries)}, {"stage", publishedStage}};
    body["stage"]["sinceMs"] = milliseconds(environment.clock.now() - publishedSince);
    recordNotifications(gateway, body);
    respond(exchange, 200, body);
}

void FakeControlPlane::watch(const std::shared_ptr<http::Exchange> &exchange, int gateway,
                             std::size_t fromVersion) {
    if (fromVersion > events.size())
        return respond(*exchange, 410, json::object());
    const auto watcher = std::make_shared<Watcher>(Watcher{exchange, gateway, fromVersion});
    watchers.push_back(watcher);
    exchange->onGone = [this, closed = watcher.get()] {
        std::erase_if(watchers, [&](const auto &one) { return one.get() == closed; });
    };
    http::ResponseHead head;
    head.status = 200, head.chunked = true,
    head.headers = {{"Content-Type", "application/x-ndjson"}};
    exchange->begin(std::move(head));
    sendEvents(*watcher);
}

void FakeControlPlane::vote(const std::shared_ptr<http::Exchange> &exchange) {
    const json document = json::parse(exchange->body, nullptr, false);
    const std::string *key = exchange->head.find("Idempotency-Key");
    if (!document.is_object() || !key)
        return respond(*exchange, 400, json::object());
    if (const auto earlierReply = voteReplies.find(*key); earlierReply != voteReplies.end())
        return respond(*exchange, 200, earlierReply->second);
    const auto verdict = parseVerdict(document.value("verdict", ""));
    if (!verdict)
        return respond(*exchange, 400, json::object());
    if (votesUnanswered && !countsUnansweredVotes)
        return;  // no response, and the vote does not count
    const bool isCurrent =
        document.value("build", 0) == current.build &&
        (*verdict == Verdict::rollBack || *verdict == Verdict::none ||
         (current.phase == RolloutPhase::canary && document.value("step", -1) == current.step));
    if (isCurrent) {
        ++voteCounts[*verdict];
        votes[document.value("gateway", "")] = {
            current.step, *verdict, environment.clock.now() + environment.scenario.voteLifetime};
    }
    if (votesUnanswered)
        return;
    if (!isCurrent)
        return respond(*exchange, 409, json::object());
    const std::string gateway = document.value("gateway", "g0");
    const json stage = toJson(stageWithAge());
    recordNotifications(std::atoi(gateway.c_str() + 1), {{"stage", stage}});
    voteReplies[*key] = stage;
    respond(*exchange, 200, stage);
}

int FakeControlPlane::countVotes(BuildNumber build, Verdict verdict) const {
    if (build != current.build)
        return 0;
    return int(std::ranges::count_if(votes, [&](const auto &v) {
        const bool step = verdict == Verdict::rollBack || v.second.step == current.step;
        return v.second.verdict == verdict && step && v.second.until > environment.clock.now();
    }));
}

void FakeControlPlane::enterStage(int step, RolloutPhase phase) {
    current.step = step, current.phase = phase;
    current.exposureLimit = phase == RolloutPhase::canary
                                ? environment.scenario.exposureLimits[std::size_t(step)]
                            : phase == RolloutPhase::released ? 1
                                                              : 0;
    stageSince = environment.clock.now(), canariesRunningSince = Duration{0};
    if (phase == RolloutPhase::canary)
        std::erase_if(votes, [](const auto &v) { return v.second.verdict == Verdict::promote; });
    stageChanges.push_back({stageSince, current});
    json event{
        {"kind", "stage"}, {"stage", toJson(stageWithAge())}, {"sinceUs", stageSince.count()}};
    publish(std::move(event), notificationDelay());
}

void FakeControlPlane::drain(ManagedEndpoint &entry) {
    if (entry.state != EndpointState::active)
        return;
    entry.state = EndpointState::draining;
    entry.endsAt = environment.clock.now() + environment.scenario.maxNotificationDelay +
                   environment.scenario.drainGrace + Duration{kDrainTime};
    // A removed record is still in use for its lifetime, for twice that where a reply is lost, and
    // until the gateway has confirmed the removal.
    if (nameServers)
        entry.endsAt += 2 * environment.scenario.recordLifetime + environment.scenario.confirmAfter;
    publishEndpoint(entry);
}

void FakeControlPlane::drainEndpoint(FakeEndpoint &endpoint) {
    for (auto &m : managed)
        if (m.endpoint.get() == &endpoint)
            drain(m);
}

void FakeControlPlane::crash(FakeEndpoint &endpoint) {
    endpoint.shutDown();
    for (auto &m : managed)
        if (m.endpoint.get() == &endpoint && m.state == EndpointState::active)
            m.state = EndpointState::removed, publishEndpoint(m);
}

void FakeControlPlane::tick() {
    const Duration now = environment.clock.now();
    const auto &scenario = environment.scenario;
    for (auto &m : managed) {
        if (!m.running && now >= m.runsAt)
            m.running = true, publishEndpoint(m);
        if (m.endpoint->isDown() && m.state == EndpointState::active)
            m.state = EndpointState::removed, publishEndpoint(m);
        if (m.state == EndpointState::draining && now >= m.endsAt) {
            m.state = EndpointState::removed, publishEndpoint(m);
            m.endpoint->shutDown();
        }
    }
    if (now >= bookmarkAt) {
        bookmarkAt = now + std::chrono::seconds(1);
        publish({{"kind", "bookmark"}}, Duration{0});
    }
    if (scenario.usageReports && now >= usageReportAt)
        publishUsageReport();

    const auto firstRunning = [&](BuildNumber build) {
        return std::ranges::find_if(managed, [&](const ManagedEndpoint &m) {
            return m.endpoint->build() == build && m.state == EndpointState::active && m.running;
        });
    };
    if (current.build == kFirstBuild) {
        startEndpoints(kFirstBuild, scenario.endpointCount, false);  // replaces crashed ones
        if (scenario.rolloutAt && now >= startedAt + *scenario.rolloutAt) {
            current.build = environment.canaryBuild;
            enterStage(0, RolloutPhase::canary);
        }
        return;
    }
    const int lastStage = int(scenario.stageShares.size()) - 1;
    if (current.phase == RolloutPhase::canary ||
        (current.phase == RolloutPhase::released && baselineDrainAt > now)) {
        const int wanted = canariesAtStage(current.step);
        startEndpoints(environment.canaryBuild, wanted, false);
        startEndpoints(kFirstBuild,
                       scenario.inPlace ? scenario.endpointCount - wanted : scenario.endpointCount,
                       false);
        while (scenario.inPlace &&
               countRunning(environment.canaryBuild) + countRunning(kFirstBuild) >
                   scenario.endpointCount &&
               firstRunning(kFirstBuild) != managed.end())
            drain(*firstRunning(kFirstBuild));
        if (countRunning(environment.canaryBuild) >= wanted && canariesRunningSince == Duration{0})
            canariesRunningSince = now;
        if (countVotes(environment.canaryBuild, Verdict::rollBack) >= scenario.votesToRollBack)
            return enterStage(current.step, RolloutPhase::rollingBack);
    }
    if (current.phase == RolloutPhase::canary && canariesRunningSince != Duration{0} &&
        now - canariesRunningSince >= scenario.minStageDuration &&
        countVotes(environment.canaryBuild, Verdict::promote) >= scenario.votesToPromote) {
        if (current.step < lastStage)
            return enterStage(current.step + 1, RolloutPhase::canary);
        baselineDrainAt = now + kBaselineRetention;
        return enterStage(current.step, RolloutPhase::released);
    }
    if (current.phase == RolloutPhase::released && now >= baselineDrainAt) {
        while (firstRunning(kFirstBuild) != managed.end())
            drain(*firstRunning(kFirstBuild));
        startEndpoints(environment.canaryBuild, scenario.endpointCount, false);
    }
    if (current.phase == RolloutPhase::rollingBack || current.phase == RolloutPhase::rolledBack) {
        startEndpoints(kFirstBuild, scenario.endpointCount, false);
        while (firstRunning(environment.canaryBuild) != managed.end())
            drain(*firstRunning(environment.canaryBuild));
        const bool canariesLeft = std::ranges::any_of(managed, [&](const ManagedEndpoint &m) {
            return m.endpoint->build() == environment.canaryBuild &&
                   m.state != EndpointState::removed;
        });
        if (!canariesLeft && current.phase == RolloutPhase::rollingBack)
            enterStage(current.step, RolloutPhase::rolledBack);
    }
}

// Reports the attempts of the last second by build and route, half a second late.
void FakeControlPlane::publishUsageReport() {
    const Duration now = environment.clock.now();
    usageReportAt = now + std::chrono::seconds(1);
    std::map<std::pair<BuildNumber, int>, std::array<double, 2>> sums;
    for (const auto &attempt : std::exchange(environment.finished, {})) {
        auto &counts = sums[{attempt.build, attempt.route}];
        counts[0] += 1, counts[1] += attempt.failed;
    }
    json rows = json::array();
    for (const auto &[who, counts] : sums)
        rows.push_back({{"build", who.first},
                        {"route", who.second},
                        {"counted", int(counts[0])},
                        {"lost", int(counts[1])},
                        {"sinceMs", 500}});
    publish({{"kind", "tally"}, {"tally", std::move(rows)}}, std::chrono::milliseconds(500));
}

}  // namespace deckcart::fakes
