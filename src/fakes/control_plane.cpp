#include "control_plane.hpp"

#include <algorithm>
#include <array>
#include <cmath>

#include "../base/address.hpp"

namespace deckcart::fakes {

using nlohmann::json;

namespace {

constexpr BuildNumber kFirstBuild = 1;
constexpr auto kStartTakes = std::chrono::milliseconds(300),
               kLeaveTakes = std::chrono::milliseconds(1500);
constexpr auto kKeepOld = std::chrono::seconds(6);  // earlier machines stay so long after a release

std::string query(const std::string &target, const std::string &name) {
    const auto at = target.find(name + "=");
    if (at == std::string::npos)
        return {};
    const auto from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

void answer(http::Exchange &to, int status, const json &body) {
    http::ResponseHead head;
    head.status = status, head.headers = {{"Content-Type", "application/json"}};
    to.answer(std::move(head), body.dump() + "\n");
}

}  // namespace

FakeControlPlane::FakeControlPlane(asio::io_context &io, FakeEnvironment &in, std::uint64_t seed)
    : context(io), world(in), chance(seed),
      listener(io, *parseAddress("127.0.0.1:0"), {},
               [this](const std::shared_ptr<http::Exchange> &exchange) { serve(exchange); }) {
    now = {kFirstBuild, int(in.day.shares.size()) - 1, RolloutPhase::released, 1, Duration{0}};
    nowSince = in.clock.now() - std::chrono::hours(1);
}

void FakeControlPlane::start() {
    startInstances(kFirstBuild, world.day.instances, true);
    publishedStage = toJson(toldStage()), publishedSince = nowSince;
    began = true;
}

RolloutStage FakeControlPlane::toldStage() const {
    RolloutStage s = now;
    s.age = world.clock.now() - nowSince;
    return s;
}

Duration FakeControlPlane::newsDelay() {
    const double span = double((world.day.mostNewsDelay - world.day.leastNewsDelay).count());
    return world.day.leastNewsDelay +
           Duration{std::llround(span * std::generate_canonical<double, 32>(chance))};
}

int FakeControlPlane::stageCount(int step) const {
    const auto share = world.day.shares[std::size_t(step)];
    return std::max(1, int(std::lround(share * world.day.instances)));
}

std::vector<FakeEndpoint *> FakeControlPlane::instances(const std::string &where) const {
    std::vector<FakeEndpoint *> out;
    for (const auto &m : members) {
        if (m.instance->down() || !m.listed || m.state != EndpointState::active)
            continue;
        const bool trial = m.instance->build() == world.trial;
        if (where == "any" || (where == "trial") == trial)
            out.push_back(m.instance.get());
    }
    return out;
}

int FakeControlPlane::running(BuildNumber build) const {
    return int(std::ranges::count_if(members, [&](const Member &m) {
        return m.instance->build() == build && m.listed && m.state == EndpointState::active &&
               !m.instance->down();
    }));
}

void FakeControlPlane::startInstances(BuildNumber build, int wanted, bool warm) {
    int have = int(std::ranges::count_if(members, [&](const Member &m) {
        return m.instance->build() == build && m.state == EndpointState::active &&
               !m.instance->down();
    }));
    for (; have < wanted; ++have) {
        Member m;
        const int zone = starts % int(world.day.zones.size());
        m.instance = std::make_unique<FakeEndpoint>(context, world, build, zone,
                                                    chance() + std::uint64_t(++starts));
        m.listedAt = world.clock.now() + (warm ? Duration{0} : Duration{kStartTakes});
        if (warm)
            m.instance->startLongAgo();
        members.push_back(std::move(m));
        if (!warm)
            continue;
        members.back().listed = true;
        changed(members.back());  // at once: the day has not begun
    }
}

void FakeControlPlane::changed(const Member &m) {
    ListedEndpoint s;
    s.id = m.instance->id(), s.zone = world.day.zones[std::size_t(m.instance->zone())],
    s.build = m.instance->build();
    s.state = m.state, s.incarnation = std::to_string(m.instance->startedAt().count());
    json entry = toJson(s);
    // When it started is told by its age at the time of telling: written then, see tell().
    entry["startedUs"] = m.instance->startedAt().count();
    publish({{"kind", "instances"}, {"instances", json::array({std::move(entry)})}},
            began ? newsDelay() + listLate : Duration{0});
}

void FakeControlPlane::publish(json event, Duration after) {
    // News of one kind never overtakes older news of it.
    Duration &due = event["kind"] == "instances" ? listDue : stageDue;
    const Duration at = world.clock.now();
    if (after > Duration{0})
        due = std::max(due, at + after), after = due - at;
    auto doIt = [this, event = std::move(event)]() mutable {
        if (event["kind"] == "instances")
            for (const auto &entry : event["instances"]) {
                if (entry["readiness"] == "gone")
                    published.erase(entry["id"].get<std::string>());
                else
                    published[entry["id"].get<std::string>()] = entry;
            }
        if (event["kind"] == "instances" && names) {
            serveNames();
            event = {{"kind", "bookmark"}};
        }
        if (event["kind"] == "stage")
            publishedStage = event["stage"],
            publishedSince = Duration{event["sinceUs"].get<std::int64_t>()};
        event["version"] = events.size() + 1;
        events.push_back(std::move(event));
        for (const auto &w : std::vector(watchers))
            tell(*w);
    };
    if (after <= Duration{0})
        return doIt();
    const auto timer = std::make_shared<asio::steady_timer>(context, after);
    timer->async_wait([doIt = std::move(doIt), timer](asio::error_code fault) mutable {
        if (!fault)
            doIt();
    });
}

// A drain is a record taken out: DNS has no word for it.
void FakeControlPlane::serveNames() {
    std::vector<FleetNames::Listed> fleet;
    for (const auto &[id, entry] : published)
        if (entry["readiness"] == "live")
            fleet.push_back(
                {id, entry["build"].get<BuildNumber>(), entry["zone"].get<std::string>()});
    names->serve(std::move(fleet));
}

// Writes ages as they are at this moment, and keeps what was told when.
void FakeControlPlane::noteTold(int gateway, const json &event) {
    const Duration at = world.clock.now();
    if (event.contains("instances"))
        for (const auto &entry : event["instances"]) {
            const ListedEndpoint s = readListedEndpoint(entry);
            world.records.endpoints.push_back(
                {gateway, at, s.id, s.build, s.state, s.age && *s.age < world.day.warmUpTime});
        }
    if (event.contains("stage")) {
        const RolloutStage s = readStage(event["stage"]);
        world.records.releases.push_back({gateway, at, s.build, s.step, s.phase, s.exposureLimit});
    }
}

void FakeControlPlane::tell(Watcher &w) {
    if (listFails)
        return w.exchange->abort();
    while (w.next < events.size() && w.exchange->open()) {
        json event = events[w.next++];
        if (event.contains("instances"))
            for (auto &entry : event["instances"])
                entry["ageMs"] = milliseconds(world.clock.now() -
                                              Duration{entry["startedUs"].get<std::int64_t>()});
        if (event.contains("stage")) {
            // What changed is news; how long ago is told as of now.
            const Duration since =
                world.clock.now() - Duration{event["sinceUs"].get<std::int64_t>()};
            event["stage"]["sinceMs"] = milliseconds(since);
        }
        noteTold(w.gateway, event);
        w.exchange->write(event.dump() + "\n");
    }
}

void FakeControlPlane::serve(const std::shared_ptr<http::Exchange> &exchange) {
    const auto &target = exchange->head.target;
    if (target.starts_with("/v1/votes"))
        return vote(exchange);
    if (listFails)
        return answer(*exchange, 503, json::object());
    const std::string gateway = query(target, "gateway");
    const int no = gateway.size() > 1 ? std::atoi(gateway.c_str() + 1) : 0;
    const std::string from = query(target, "watch");
    if (from.empty())
        return list(*exchange, no);
    watch(exchange, no, std::size_t(std::strtoull(from.c_str(), nullptr, 10)));
}

void FakeControlPlane::list(http::Exchange &exchange, int gateway) {
    json entries = json::array();
    for (auto &[id, entry] : published) {
        if (names)
            break;
        json one = entry;
        one["ageMs"] =
            milliseconds(world.clock.now() - Duration{one["startedUs"].get<std::int64_t>()});
        entries.push_back(std::move(one));
    }
    json body{
        {"version", events.size()}, {"instances", std::move(entries)}, {"stage", publishedStage}};
    body["stage"]["sinceMs"] = milliseconds(world.clock.now() - publishedSince);
    noteTold(gateway, body);
    answer(exchange, 200, body);
}

void FakeControlPlane::watch(const std::shared_ptr<http::Exchange> &exchange, int gateway,
                             std::size_t from) {
    if (from > events.size())
        return answer(*exchange, 410, json::object());
    const auto w = std::make_shared<Watcher>(Watcher{exchange, gateway, from});
    watchers.push_back(w);
    exchange->onGone = [this, raw = w.get()] {
        std::erase_if(watchers, [&](const auto &one) { return one.get() == raw; });
    };
    http::ResponseHead head;
    head.status = 200, head.chunked = true,
    head.headers = {{"Content-Type", "application/x-ndjson"}};
    exchange->begin(std::move(head));
    tell(*w);
}

void FakeControlPlane::vote(const std::shared_ptr<http::Exchange> &exchange) {
    const json said = json::parse(exchange->body, nullptr, false);
    const std::string *key = exchange->head.find("Idempotency-Key");
    if (!said.is_object() || !key)
        return answer(*exchange, 400, json::object());
    if (const auto before = answered.find(*key); before != answered.end())
        return answer(*exchange, 200, before->second);
    const auto verdict = parseVerdict(said.value("verdict", ""));
    if (!verdict)
        return answer(*exchange, 400, json::object());
    if (still && !stillCounts)
        return;  // no answer, and it does not count
    const bool present =
        said.value("build", 0) == now.build &&
        (*verdict == Verdict::rollBack || *verdict == Verdict::none ||
         (now.phase == RolloutPhase::canary && said.value("step", -1) == now.step));
    if (present) {
        ++votesTaken[*verdict];
        votes[said.value("gateway", "")] = {now.step, *verdict,
                                            world.clock.now() + world.day.voteLifetime};
    }
    if (still)
        return;
    if (!present)
        return answer(*exchange, 409, json::object());
    const std::string gateway = said.value("gateway", "g0");
    const json stage = toJson(toldStage());
    noteTold(std::atoi(gateway.c_str() + 1), {{"stage", stage}});
    answered[*key] = stage;
    answer(*exchange, 200, stage);
}

int FakeControlPlane::standing(BuildNumber build, Verdict verdict) const {
    if (build != now.build)
        return 0;
    return int(std::ranges::count_if(votes, [&](const auto &v) {
        const bool step = verdict == Verdict::rollBack || v.second.step == now.step;
        return v.second.verdict == verdict && step && v.second.until > world.clock.now();
    }));
}

void FakeControlPlane::enter(int step, RolloutPhase phase) {
    now.step = step, now.phase = phase;
    now.exposureLimit = phase == RolloutPhase::canary     ? world.day.caps[std::size_t(step)]
                        : phase == RolloutPhase::released ? 1
                                                          : 0;
    nowSince = world.clock.now(), allRunningSince = Duration{0};
    if (phase == RolloutPhase::canary)
        std::erase_if(votes, [](const auto &v) { return v.second.verdict == Verdict::promote; });
    stages.push_back({nowSince, now});
    json event{{"kind", "stage"}, {"stage", toJson(toldStage())}, {"sinceUs", nowSince.count()}};
    publish(std::move(event), newsDelay());
}

void FakeControlPlane::drain(Member &m) {
    if (m.state != EndpointState::active)
        return;
    m.state = EndpointState::draining;
    m.leavesAt =
        world.clock.now() + world.day.mostNewsDelay + world.day.drainGrace + Duration{kLeaveTakes};
    // Who takes a record out has to wait for its lifetime, twice where a reply is lost, and for a
    // confirmation.
    if (names)
        m.leavesAt += 2 * world.day.recordLifetime + world.day.confirmAfter;
    changed(m);
}

void FakeControlPlane::staffDrains(FakeEndpoint &which) {
    for (auto &m : members)
        if (m.instance.get() == &which)
            drain(m);
}

void FakeControlPlane::crash(FakeEndpoint &which) {
    which.die();
    for (auto &m : members)
        if (m.instance.get() == &which && m.state == EndpointState::active)
            m.state = EndpointState::removed, changed(m);
}

void FakeControlPlane::tick() {
    const Duration at = world.clock.now();
    const auto &day = world.day;
    for (auto &m : members) {
        if (!m.listed && at >= m.listedAt)
            m.listed = true, changed(m);
        if (m.instance->down() && m.state == EndpointState::active)
            m.state = EndpointState::removed, changed(m);
        if (m.state == EndpointState::draining && at >= m.leavesAt) {
            m.state = EndpointState::removed, changed(m);
            m.instance->die();
        }
    }
    if (at >= bookmarkAt) {
        bookmarkAt = at + std::chrono::seconds(1);
        publish({{"kind", "bookmark"}}, Duration{0});
    }
    if (day.tallies && at >= tallyAt)
        tally();

    const auto first = [&](BuildNumber build) {
        return std::ranges::find_if(members, [&](const Member &m) {
            return m.instance->build() == build && m.state == EndpointState::active && m.listed;
        });
    };
    if (now.build == kFirstBuild) {
        startInstances(kFirstBuild, day.instances, false);  // crashed ones are replaced
        if (day.releaseAt && at >= dayBegan + *day.releaseAt) {
            now.build = world.trial;
            enter(0, RolloutPhase::canary);
        }
        return;
    }
    const int last = int(day.shares.size()) - 1;
    if (now.phase == RolloutPhase::canary ||
        (now.phase == RolloutPhase::released && oldLeaveAt > at)) {
        const int wanted = stageCount(now.step);
        startInstances(world.trial, wanted, false);
        startInstances(kFirstBuild, day.inPlace ? day.instances - wanted : day.instances, false);
        while (day.inPlace && running(world.trial) + running(kFirstBuild) > day.instances &&
               first(kFirstBuild) != members.end())
            drain(*first(kFirstBuild));
        if (running(world.trial) >= wanted && allRunningSince == Duration{0})
            allRunningSince = at;
        if (standing(world.trial, Verdict::rollBack) >= day.votesToRollBack)
            return enter(now.step, RolloutPhase::rollingBack);
    }
    if (now.phase == RolloutPhase::canary && allRunningSince != Duration{0} &&
        at - allRunningSince >= day.minStageDuration &&
        standing(world.trial, Verdict::promote) >= day.toAdvance) {
        if (now.step < last)
            return enter(now.step + 1, RolloutPhase::canary);
        oldLeaveAt = at + kKeepOld;
        return enter(now.step, RolloutPhase::released);
    }
    if (now.phase == RolloutPhase::released && at >= oldLeaveAt) {
        while (first(kFirstBuild) != members.end())
            drain(*first(kFirstBuild));
        startInstances(world.trial, day.instances, false);
    }
    if (now.phase == RolloutPhase::rollingBack || now.phase == RolloutPhase::rolledBack) {
        startInstances(kFirstBuild, day.instances, false);
        while (first(world.trial) != members.end())
            drain(*first(world.trial));
        const bool left = std::ranges::any_of(members, [&](const Member &m) {
            return m.instance->build() == world.trial && m.state != EndpointState::removed;
        });
        if (!left && now.phase == RolloutPhase::rollingBack)
            enter(now.step, RolloutPhase::rolledBack);
    }
}

// What the platform counts: attempts of a second, by build and route, told a little later.
void FakeControlPlane::tally() {
    const Duration at = world.clock.now();
    tallyAt = at + std::chrono::seconds(1);
    std::map<std::pair<BuildNumber, int>, std::array<double, 2>> sums;
    for (const auto &done : std::exchange(world.finished, {})) {
        auto &s = sums[{done.build, done.route}];
        s[0] += 1, s[1] += done.lost;
    }
    json rows = json::array();
    for (const auto &[who, s] : sums)
        rows.push_back({{"build", who.first},
                        {"route", who.second},
                        {"counted", int(s[0])},
                        {"lost", int(s[1])},
                        {"sinceMs", 500}});
    publish({{"kind", "tally"}, {"tally", std::move(rows)}}, std::chrono::milliseconds(500));
}

}  // namespace deckcart::fakes
