#include "gateway.hpp"

#include <algorithm>

#include "../membership/restart.hpp"
#include "http_transport.hpp"

namespace deckcart {

constexpr int kThawRounds = 200;  // loop turns at most that a standstill's finds are read in

// What the call of one try tells.
class Gateway::Sink : public CallOwner {
  public:
    Sink(Gateway &of, ReqId req, int no) : gateway(of), id(req), tryNo(no) {}
    void onAnswer(std::string_view part) override;
    void onCallEnd(Outcome how) override;

    Gateway &gateway;
    ReqId id;
    int tryNo;
};

struct Gateway::Try {
    ServerId server;
    BuildNo build = 0;
    std::shared_ptr<Call> call;
    std::unique_ptr<Sink> sink;
    Duration sent{}, progress{};
    bool over = false, streaming = false;
    Outcome how = Outcome::ok;
    std::string held;
};

struct Gateway::Req {
    Req(asio::io_context &io) : timer(io) {}
    ReqId id = 0;
    InstanceId record = 0;
    std::shared_ptr<TakenReq> taken;
    std::string name;                      // the client's own id of it
    Duration came{}, clientEnd{}, told{};  // told: the end that the module works to
    std::vector<Try> tries;
    bool answered = false;
    int streaming = -1;  // the try whose answer the client is getting
    asio::steady_timer timer;

    bool outstanding() const {
        return std::ranges::any_of(tries, [](const Try &t) { return !t.over; });
    }
};

namespace {

const char *nameOf(Outcome how) {
    switch (how) {
    case Outcome::ok: return "ok";
    case Outcome::error: return "error";
    case Outcome::full: return "full";
    case Outcome::timeout: return "timeout";
    case Outcome::connectFailed: return "connect-failed";
    case Outcome::reset: return "reset";
    case Outcome::cancelled: return "cancelled";
    case Outcome::moot: return "moot";
    case Outcome::unreadable: return "unreadable";
    }
    return "moot";
}

template <class... F> struct Overload : F... { using F::operator()...; };
template <class... F> Overload(F...) -> Overload<F...>;

}  // namespace

// ---- the calls to instances ----

void Gateway::Sink::onAnswer(std::string_view part) {
    if (const auto it = gateway.reqs.find(id); it != gateway.reqs.end())
        gateway.pass(*it->second, tryNo, part);
}

void Gateway::Sink::onCallEnd(Outcome how) {
    gateway.turn();
    ++gateway.socketEvents;
    const auto it = gateway.reqs.find(id);
    if (it == gateway.reqs.end()) return;
    if (how == Outcome::ok) return gateway.complete(*it->second, tryNo);
    gateway.later([g = &gateway, req = id, no = tryNo, how] { g->tryEnded(req, no, how); });
}

nlohmann::json countsOf(const Gateway &gateway) {
    const auto &c = gateway.counts();
    return {{"taken", c.taken},
            {"completed", c.completed},
            {"shed", c.shed},
            {"errored", c.errored},
            {"gone", c.gone},
            {"inHand", gateway.inHand()},
            {"tries", c.tries},
            {"overdue", c.overdue},
            {"standstills", c.standstills},
            {"turnedAway", c.turnedAway},
            {"decidingMs", milliseconds(c.deciding)},
            {"longestDecidingMs", milliseconds(c.longestDeciding)}};
}

// ---- start and end ----

Gateway::Gateway(asio::io_context &io, const Clock &time, GatewayOrders with, std::uint64_t seeded, Log to,
                 const asio::ip::tcp::endpoint &listen, ShellFaults wrong)
    : Gateway(io, time, std::move(with), seeded, std::move(to), HttpWays(io, listen), wrong) {}

Gateway::Gateway(asio::io_context &io, const Clock &time, GatewayOrders with, std::uint64_t seeded, Log to,
                 const Ways &ways, ShellFaults wrong)
    : context(io), clock(time), given(std::move(with)), seed(seeded), log(std::move(to)), faults(wrong),
      chance(seeded), nextReq((seeded & 0xffffff) << 24), lastSeen(time.now()),
      upstreams(ways.upstreams(given)), sweeper(io),
      front(ways.front(given, {[this](std::shared_ptr<TakenReq> taken) { arrived(std::move(taken)); },
                               [this] { ++counted.unrouted; }})) {
    desk = ways.desk(given, {[this] { return turn(); },
                             [this](Event event) {
                                 ++socketEvents;
                                 later([this, event = std::move(event)] {
                                     const auto *toldNow = std::get_if<ListTold>(&event);
                                     if (toldNow && feed) return feed->deskTold(*toldNow);
                                     if (std::holds_alternative<ListFailed>(event) && feed)
                                         feed->deskFailed();
                                     happened(event);
                                 });
                             }});
    startModule();
    startFeed({});
    sweep();
}

Gateway::~Gateway() {
    *alive = false;
    for (auto &[id, rq] : reqs) {
        rq->taken->onGone = nullptr, rq->taken->onDrained = nullptr;
        for (Try &t : rq->tries)
            if (!t.over) t.call->release(lastSeen);
    }
}

void Gateway::startModule() {
    ++current;
    records[current] = 0;
    StartValues values = given.module;
    values.seed = seed + std::uint64_t(current) * 0x9e3779b97f4a7c15u;
    happened(Started{std::move(values)}, current);
}

void Gateway::remember(const std::vector<ListedServer> &saved) {
    ListTold known{true, {}};
    for (const auto &s : saved) {
        ServerEntry e = entryOf(s, given);
        if (s.age) e.startedAt = turn() - *s.age;
        known.entries.push_back(std::move(e));
    }
    happened(known);
}

void Gateway::remember(const std::vector<membership::SavedSource> &saved) { startFeed(saved); }

void Gateway::startFeed(const std::vector<membership::SavedSource> &saved) {
    const auto before = std::move(feed);
    if (!given.sources) return;
    feed = std::make_unique<MemberFeed>(
        context, clock, given, chance(), log, [this] { return turn(); },
        [this, here = std::weak_ptr(alive)](Event event) {
            if (!here.expired()) later([this, event = std::move(event)] { happened(event); });
        },
        saved, saved.empty() ? before.get() : nullptr);
    feed->onRead = [this] {
        if (onListed) onListed();
    };
}

bool Gateway::mayRestartModule() const {
    std::vector<ServerEntry> entries;
    for (const auto &[id, e] : list) entries.push_back(e);
    return membership::mayStartAnew(entries, told ? std::optional(told->phase) : std::nullopt);
}

void Gateway::apply(GatewayOrders orders, bool newModule, bool sourcesMoved) {
    const bool deskMoved = orders.desk.has_value() != given.desk.has_value() ||
                           (orders.desk && orders.desk->address != given.desk->address);
    // A req in hand keeps its rule's number: rules only change with the module, which then starts anew.
    given = std::move(orders);
    front->limit();
    if (newModule) {
        const InstanceId before = current;
        startModule();
        ListTold known{true, {}};
        for (const auto &[id, e] : list) known.entries.push_back(e);
        happened(known, current);
        if (told)
            happened(
                StageNews{false, Outcome::ok, told->build, told->step, told->phase, told->cap, told->since},
                current);
        if (records[before] == 0) records.erase(before), happened(Stopped{}, before);
    }
    if (sourcesMoved) startFeed({});
    if (deskMoved || (sourcesMoved && !feed)) desk->follow(true);
}

void Gateway::drain(std::function<void()> done) {
    drained = std::move(done);
    front->drain([this] {
        frontEnded = true;
        checkDrained();
    });
}

void Gateway::checkDrained() {
    if (drained && frontEnded && unanswered == 0) asio::post(context, std::exchange(drained, nullptr));
}

void Gateway::endInHand() {
    ended = true;
    endOverdue([](const Req &) { return true; });
}

// Answers reqs for the module: it hears of them as gone.
void Gateway::endOverdue(const std::function<bool(const Req &)> &which) {
    std::vector<ReqId> overdue;
    for (const auto &[id, rq] : reqs)
        if (!rq->answered && which(*rq)) overdue.push_back(id);
    for (const ReqId id : overdue) {
        ++counted.overdue;
        finish(*reqs.at(id), "errored", true, Duration{0});
        later([this, id] { clientGone(id); });
    }
}

// ---- time ----

// Every way in passes here. A turn much later than the one before means that this process stood still: what
// it finds came meanwhile, and its own lateness is no instance's latency. So the module's clock stays at the
// last turn until all that has come is read; only then it jumps. What is past its end is answered before
// anything else.
Duration Gateway::turn() {
    const Duration real = clock.now();
    const Duration gap = real - lastSeen;
    lastSeen = std::max(real, lastSeen);
    if (!frozen && gap > given.standstill) {
        frozen = true, frozenAt = real - gap;
        ++counted.standstills;
        log.warn("standstill", {{"ms", milliseconds(gap)}});
        endOverdue([real](const Req &rq) { return rq.streaming < 0 && real >= rq.told; });
        thawSoon(0);
    }
    return frozen ? frozenAt : lastSeen;
}

void Gateway::thawSoon(int rounds) {
    asio::post(context, [this, rounds, here = std::weak_ptr(alive), before = socketEvents] {
        if (here.expired()) return;
        // Two quiet turns: the loop has looked at all sockets and found no more.
        if (rounds < 2 || (socketEvents != before && rounds < kThawRounds)) return thawSoon(rounds + 1);
        thaw();
    });
}

void Gateway::thaw() {
    frozen = false;
    lastSeen = clock.now();
    for (const auto &what : std::exchange(waiting, {})) what();
}

void Gateway::later(std::function<void()> what) {
    turn();
    if (frozen) waiting.push_back(std::move(what));
    else what();
}

// ---- reqs from clients ----

void Gateway::arrived(std::shared_ptr<TakenReq> taken) {
    turn();
    ++socketEvents;
    if (ended || unanswered >= given.reqsInHand) {
        ++counted.turnedAway;
        return taken->shed(taken->facts.name, given.turnedAwayFor);
    }
    // What is read after a standstill came at some time during it: the earliest is taken, as its client may
    // wait since.
    const Duration came = frozen ? frozenAt : lastSeen;
    ++unanswered;  // in hand from here on
    later([this, taken = std::move(taken), came] { take(taken, came); });
}

void Gateway::take(std::shared_ptr<TakenReq> taken, Duration came) {
    const ReqId id = ++nextReq & ((ReqId{1} << 52) - 1);
    auto made = std::make_unique<Req>(context);
    Req &rq = *made;
    rq.id = id, rq.record = current, rq.taken = std::move(taken);
    const ReqFacts &facts = rq.taken->facts;
    rq.came = came, rq.clientEnd = came + facts.wait, rq.told = rq.clientEnd - given.answerMargin;
    ReqArrived in{id, facts.key, int(facts.route), facts.account, rq.told};
    rq.name = facts.name;
    if (rq.name.empty()) rq.name = given.id + "-" + std::to_string(id);
    reqs.emplace(id, std::move(made));
    ++records[current], ++counted.taken;
    if (!rq.taken->open()) {  // its client left while the clock stood
        rq.answered = true, --unanswered, ++counted.gone;
        return forget(rq);
    }
    if (lastSeen >= rq.told) {  // nothing was sent for it: saying so lets the client come back
        finish(rq, "shed", false, given.module.longestRetryAfter);
        return forget(rq);
    }
    rq.taken->onGone = [this, id] {
        turn();
        ++socketEvents;
        later([this, id] { clientGone(id); });
    };
    watchDeadline(rq);
    happened(std::move(in), rq.record);
}

void Gateway::clientGone(ReqId id) {
    const auto it = reqs.find(id);
    if (it == reqs.end()) return;
    Req &rq = *it->second;
    if (!rq.answered) {
        rq.answered = true, --unanswered, ++counted.gone;
        logReq(rq, "gone");
    }
    happened(ReqGone{id}, rq.record);
    // A stream has no reader any more; other tries end by the module's word, or by their time.
    const auto again = reqs.find(id);
    if (again == reqs.end()) return;
    if (rq.streaming >= 0 && !rq.tries[std::size_t(rq.streaming)].over)
        return tryEnded(id, rq.streaming, Outcome::cancelled);
    // What no instance can have got whole does not go out for it any more, whatever the settings say of those
    // that have been handed over.
    for (std::size_t k = 0; k < rq.tries.size(); ++k)
        if (!rq.tries[k].over && !rq.tries[k].call->handedOver()) {
            tryEnded(id, int(k), Outcome::moot);
            if (!reqs.contains(id)) return;
        }
    if (!rq.outstanding()) forget(rq);
}

void Gateway::watchDeadline(Req &rq) { wakeIn(rq, rq.told - lastSeen); }

void Gateway::wakeIn(Req &rq, Duration after) {
    rq.timer.expires_after(std::max(Duration{0}, after));
    rq.timer.async_wait([this, id = rq.id, here = std::weak_ptr(alive)](asio::error_code fault) {
        if (fault || here.expired()) return;
        later([this, id] { deadline(id); });
    });
}

void Gateway::deadline(ReqId id) {
    const auto it = reqs.find(id);
    if (it == reqs.end()) return;
    Req &rq = *it->second;
    const Duration at = lastSeen;
    for (std::size_t k = 0; k < rq.tries.size(); ++k)
        if (at >= rq.told) {
            stillOut(id, k);  // what has come in time is no time-out
            if (!reqs.contains(id)) return;
        }
    for (std::size_t k = 0; k < rq.tries.size(); ++k)
        if (!rq.tries[k].over && !rq.tries[k].streaming && at >= rq.told) {
            tryEnded(id, int(k), Outcome::timeout);
            if (!reqs.contains(id)) return;
        }
    if (rq.answered || rq.streaming >= 0) return;
    if (at < rq.told) return watchDeadline(rq);
    // The module's own turn to answer comes first.
    if (at < rq.told + given.answerMargin / 2) return wakeIn(rq, rq.told + given.answerMargin / 2 - at);
    // Guards the client against a module that holds a req too long: it never should.
    ++counted.overdue;
    finish(rq, "errored", true, Duration{0});
    clientGone(id);
}

void Gateway::finish(Req &rq, const char *end, bool late, Duration retryIn) {
    if (rq.answered) return;
    rq.answered = true, --unanswered;
    const bool shed = end[0] == 's';
    ++(shed ? counted.shed : counted.errored);
    if (rq.streaming >= 0) rq.taken->abort();
    else if (shed) rq.taken->shed(rq.name, retryIn);
    else rq.taken->errored(rq.name, late);
    logReq(rq, end);
    checkDrained();
}

void Gateway::logReq(const Req &rq, const char *end) {
    if (!log.on() || given.reqSample <= 0 || std::generate_canonical<double, 32>(chance) >= given.reqSample)
        return;
    nlohmann::json tries = nlohmann::json::array();
    for (const Try &t : rq.tries)
        tries.push_back({{"instance", t.server},
                         {"build", t.build},
                         {"outcome", t.over ? nameOf(t.how) : "out"},
                         {"sentMs", milliseconds(t.sent - rq.came)}});
    log.info("req", {{"req", rq.name},
                     {"key", rq.taken->facts.key},
                     {"route", given.routes[rq.taken->facts.route].name},
                     {"end", end},
                     {"tries", std::move(tries)},
                     {"ms", milliseconds(lastSeen - rq.came)}});
}

void Gateway::forget(Req &rq) {
    if (rq.outstanding() || !rq.answered) return;
    const InstanceId record = rq.record;
    rq.taken->onGone = nullptr, rq.taken->onDrained = nullptr;
    reqs.erase(rq.id);
    if (--records[record] == 0 && record != current) records.erase(record), happened(Stopped{}, record);
    checkDrained();
}

// ---- events in, actions out ----

void Gateway::happened(Event event) {
    std::optional<BuildNo> lower;  // its cap has been lowered
    if (const auto *l = std::get_if<ListTold>(&event)) note(*l);
    if (const auto *s = std::get_if<StageNews>(&event); s && s->how == Outcome::ok) {
        const ToldStage now{s->build, s->step, s->phase, s->cap, s->since};
        if (!told || told->build != now.build || told->step != now.step || told->phase != now.phase)
            log.info(
                "stage",
                {{"build", now.build}, {"step", now.step}, {"phase", nameOf(now.phase)}, {"cap", now.cap}});
        if (told && told->build == now.build && now.cap < told->cap) lower = now.build;
        told = now;
    }
    for (const auto &[record, n] : records) queue.emplace_back(record, event);
    decide();
    if (std::holds_alternative<ListTold>(event))
        endUnsent([this](const Try &t) {
            const auto entry = list.find(t.server);
            return entry != list.end() && entry->second.readiness == Readiness::live &&
                   entry->second.build == t.build;
        });
    if (lower) endUnsent([lower](const Try &t) { return t.build != *lower; });
}

// A try that is still on its way when its instance is told to drain, to run another build, or its build to
// have a lower cap, would break what has just been told: it ends as one that could not be connected, and
// where the req goes then is the module's.
void Gateway::endUnsent(const std::function<bool(const Try &)> &stays) {
    std::vector<std::pair<ReqId, int>> unsent;
    for (const auto &[id, rq] : reqs)
        for (std::size_t k = 0; k < rq->tries.size(); ++k) {
            const Try &t = rq->tries[k];
            if (!t.over && !stays(t) && !t.call->handedOver()) unsent.push_back({id, int(k)});
        }
    for (const auto &[id, no] : unsent) tryEnded(id, no, Outcome::connectFailed);
}

void Gateway::happened(Event event, InstanceId record) {
    queue.emplace_back(record, std::move(event));
    decide();
}

void Gateway::decide() {
    if (deciding) return;  // below it: the queue goes on there
    deciding = true;
    while (!queue.empty()) {
        const InstanceId record = queue.front().first;
        one.clear();
        one.push_back(std::move(queue.front().second));
        queue.pop_front();
        const Duration now = turn();
        const auto from = std::chrono::steady_clock::now();
        const auto actions = policy.decide(record, now, one);
        const auto took = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - from);
        counted.deciding += took, counted.longestDeciding = std::max(counted.longestDeciding, took);
        ++counted.decisions;
        for (const auto &action : actions) carryOut(record, action);
    }
    deciding = false;
}

void Gateway::carryOut(InstanceId record, const Action &action) {
    std::visit(
        Overload{
            [&](const SendTry &a) { send(record, a); },
            [&](const CancelTry &a) {
                // What has come is no longer withdrawn, nor is an answer that the client is getting.
                if (!stillOut(a.req, std::size_t(a.tryNo))) return;
                const Req &rq = *reqs.at(a.req);
                if (!rq.tries[std::size_t(a.tryNo)].streaming || rq.answered)
                    tryEnded(a.req, a.tryNo, Outcome::cancelled);
            },
            [&](const Shed &a) {
                const auto it = reqs.find(a.req);
                if (it == reqs.end()) return;
                finish(*it->second, "shed", false, a.retryIn);
                forget(*it->second);
            },
            [&](const EndErrored &a) {
                const auto it = reqs.find(a.req);
                if (it == reqs.end()) return;
                const auto &tries = it->second->tries;
                const bool late = !tries.empty() && (tries.back().how == Outcome::timeout ||
                                                     tries.back().how == Outcome::cancelled);
                finish(*it->second, "errored", late, Duration{0});
                forget(*it->second);
            },
            [&](const SetTimer &a) {
                const auto timer = std::make_shared<asio::steady_timer>(context, a.after);
                timer->async_wait([this, record, timer, here = std::weak_ptr(alive)](asio::error_code fault) {
                    if (!fault && !here.expired()) later([this, record] { happened(TimerFired{}, record); });
                });
            },
            [&](const Probe &a) { probe(record, a); },
            [&](const FollowList &a) {
                if (record != current) return;
                desk->follow(a.active);
                if (feed && a.active) feed->tellAgain();
            },
            [&](const Vote &a) {
                if (record != current) return;  // one vote a gateway
                log.info("vote", {{"build", a.build}, {"step", a.step}, {"verdict", nameOf(a.verdict)}});
                desk->vote(a, given.module.voteAnswerWithin);
            },
            [&](const LogLine &a) {
                log.info("module", {{"words", a.words}});
            },
        },
        action);
}

void Gateway::send(InstanceId record, const SendTry &what) {
    const auto it = reqs.find(what.req);
    if (it == reqs.end()) return;
    Req &rq = *it->second;
    const int no = int(rq.tries.size());
    ServerId server = what.server;
    if (faults.sendsAfterDrain && !drainingServer.empty() && no == 0) server = drainingServer;
    const auto moot = [&](Outcome how, bool over = false) {
        Try none;
        none.server = what.server, none.over = true, none.how = how, none.sent = turn();
        rq.tries.push_back(std::move(none));
        happened(TryEnded{what.req, no, over || rq.answered, how}, record);
    };
    // Its client has closed, and this loop has not come to read that yet.
    if (!rq.answered && !rq.taken->clientThere()) return moot(Outcome::moot, true);
    // The req is over, or bound to an answer that has begun, or its end has passed on the real clock.
    if (rq.answered || rq.streaming >= 0 || lastSeen >= rq.told) return moot(Outcome::moot);
    const auto call = upstreams->take(server);
    if (!call) return moot(Outcome::connectFailed);  // no address, or its connections are all in use
    ++counted.tries;
    Try t;
    t.server = server, t.call = call, t.sent = turn(), t.progress = t.sent;
    if (const auto entry = list.find(server); entry != list.end()) t.build = entry->second.build;
    t.sink = std::make_unique<Sink>(*this, rq.id, no);
    Sink *sink = t.sink.get();
    const BuildNo build = t.build;
    rq.tries.push_back(std::move(t));
    call->start(
        *rq.taken, rq.name, [this, id = rq.id] { return handOver(id); }, build, sink);
}

// The last look before a try's first byte: its connection may have taken a while.
std::optional<Duration> Gateway::handOver(ReqId id) {
    const auto it = reqs.find(id);
    if (it == reqs.end()) return std::nullopt;
    const Req &rq = *it->second;
    const Duration now = clock.now();
    if (rq.answered || now >= rq.told || !rq.taken->clientThere()) return std::nullopt;
    return rq.clientEnd - now;
}

// Whether a try is out, once what has come of its answer is read: that may end it, and its req.
bool Gateway::stillOut(ReqId id, std::size_t no) {
    const auto out = [&] {
        const auto it = reqs.find(id);
        return it != reqs.end() && no < it->second->tries.size() && !it->second->tries[no].over;
    };
    if (!out()) return false;
    const auto call = reqs.at(id)->tries[no].call;  // it may go with its req
    call->look();
    return out();
}

void Gateway::tryEnded(ReqId id, int tryNo, Outcome how) {
    const auto it = reqs.find(id);
    if (it == reqs.end()) return;
    Req &rq = *it->second;
    Try &t = rq.tries[std::size_t(tryNo)];
    if (t.over) return;
    t.over = true, t.how = how;
    // Nothing may come of a try whose outcome has been told: a connection in the middle of one is closed.
    t.call->release(lastSeen);
    t.held.clear();
    bool over = rq.answered;
    if (rq.streaming == tryNo && !rq.answered) {
        // The answer broke off in the middle: only a cut connection tells the client.
        finish(rq, "errored", false, Duration{0});
        over = true;
    }
    if (faults.repeatsNonRetriable && how == Outcome::reset)
        if (const auto again = upstreams->take(t.server)) {
            again->start(
                *rq.taken, rq.name, [most = given.upstream.stalledFor] { return std::optional(most); },
                t.build, &nobody);
            repeats.push_back(again);
        }
    happened(TryEnded{id, tryNo, over, how}, rq.record);
    if (const auto left = reqs.find(id); left != reqs.end()) forget(*left->second);
}

// A part of an answer: held back while it is short enough to be passed on whole, else streamed as it comes.
void Gateway::pass(Req &rq, int tryNo, std::string_view part) {
    turn();
    ++socketEvents;
    Try &t = rq.tries[std::size_t(tryNo)];
    t.progress = lastSeen;
    if (!t.streaming) {
        t.held.append(part);
        if (t.held.size() <= given.upstream.heldAnswerBytes || rq.answered || rq.streaming >= 0) {
            if (t.held.size() > given.upstream.heldAnswerBytes) t.held.clear();  // nobody will get it
            return;
        }
        rq.streaming = tryNo, t.streaming = true;
        rq.timer.cancel();
        rq.taken->onDrained = [this, id = rq.id, tryNo] {
            const auto it = reqs.find(id);
            if (it == reqs.end()) return;
            Try &paused = it->second->tries[std::size_t(tryNo)];
            if (!paused.over) paused.progress = turn(), paused.call->resume();
        };
        rq.taken->begin(*t.call);
        rq.taken->write(std::exchange(t.held, {}));
    } else rq.taken->write(part);
    // A reader slower than the instance holds the instance back, not this process's memory.
    if (rq.taken->waiting() > given.door.waitingBytes) t.call->pause();
}

void Gateway::complete(Req &rq, int tryNo) {
    Try &t = rq.tries[std::size_t(tryNo)];
    if (t.over) return;
    t.over = true, t.how = Outcome::ok;
    t.call->release(lastSeen);
    const bool first = !rq.answered && (rq.streaming < 0 || rq.streaming == tryNo);
    if (first) {
        if (rq.streaming == tryNo) rq.taken->end();
        else rq.taken->completed(*t.call, t.held);
        if (faults.answersTwice) rq.taken->answerTwice();
        rq.answered = true, --unanswered, ++counted.completed;
        logReq(rq, "completed");
        if (given.passedKept > 0 && passed.try_emplace(rq.name, Passed{t.server, t.sent}).second)
            passedOrder.push_back(rq.name);
        if (passedOrder.size() > given.passedKept) passed.erase(passedOrder.front()), passedOrder.pop_front();
    }
    const ReqId id = rq.id;
    t.held = {};
    happened(TryEnded{id, tryNo, true, Outcome::ok}, rq.record);
    if (const auto left = reqs.find(id); left != reqs.end()) forget(*left->second);
}

// ---- probes, lists ----

void Gateway::probe(InstanceId record, const Probe &what) {
    upstreams->probe(what.server, [this, record, server = what.server,
                                   here = std::weak_ptr(alive)](std::vector<double> load) {
        if (here.expired()) return;
        ++socketEvents;
        later([this, record, server, load = std::move(load)] { happened(ProbeEnded{server, load}, record); });
    });
}

void Gateway::note(const ListTold &told_) {
    if (told_.complete) {
        std::set<ServerId> still;
        for (const auto &e : told_.entries) still.insert(e.id);
        for (const auto &[id, e] : list)
            if (!still.contains(id)) upstreams->closeIdle(id);
        list.clear();
    }
    for (const auto &e : told_.entries) {
        if (e.readiness == Readiness::gone) list.erase(e.id);
        else list[e.id] = e;
        if (e.readiness != Readiness::live) upstreams->closeIdle(e.id);
        if (e.readiness == Readiness::draining) drainingServer = e.id;
    }
    if (onListed) onListed();
}

std::vector<ListedServer> Gateway::listed() const {
    std::vector<ListedServer> out;
    for (const auto &[id, e] : list) out.push_back(listedOf(e, given.zones, lastSeen));
    return out;
}

bool Gateway::wrongAnswer(const std::string &reqId) {
    const auto it = passed.find(reqId);
    if (it == passed.end()) return false;
    if (std::exchange(it->second.reported, true)) return true;  // known: one answer is wrong once
    const Passed what = it->second;
    later([this, what] { happened(WrongReported{what.server, turn() - what.sent}); });
    return true;
}

void Gateway::sweep() {
    const Duration now = turn();
    if (!frozen) {
        upstreams->sweep(now);
        std::vector<std::pair<ReqId, int>> stalled;
        for (const auto &[id, rq] : reqs)
            if (rq->streaming >= 0) {
                const Try &t = rq->tries[std::size_t(rq->streaming)];
                const bool slowReader = rq->taken->waiting() > 0;  // the door ends those
                if (!t.over && !slowReader && now - t.progress > given.upstream.stalledFor)
                    stalled.push_back({id, rq->streaming});
            }
        for (const auto &[id, no] : stalled) tryEnded(id, no, Outcome::timeout);
    }
    sweeper.expires_after(upstreams->sweepEvery());
    sweeper.async_wait([this, here = std::weak_ptr(alive)](asio::error_code fault) {
        if (!fault && !here.expired()) sweep();
    });
}

}  // namespace deckcart
