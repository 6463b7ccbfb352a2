#include "gateway.hpp"

#include <algorithm>

#include "../membership/restart.hpp"
#include "http_transport.hpp"

namespace deckcart {

constexpr int kThawRounds = 200;  // loop turns at most that a standstill's finds are read in

// What the call of one try tells.
class Gateway::AttemptObserver : public CallObserver {
  public:
    AttemptObserver(Gateway &of, RequestId request, int no)
        : gateway(of), id(request), attemptNumber(no) {}
    void onResponse(std::string_view part) override;
    void onCallEnd(Outcome outcome) override;

    Gateway &gateway;
    RequestId id;
    int attemptNumber;
};

struct Gateway::Attempt {
    EndpointId endpoint;
    BuildNumber build = 0;
    std::shared_ptr<UpstreamCall> call;
    std::unique_ptr<AttemptObserver> sink;
    Duration sent{}, progress{};
    bool over = false, streaming = false;
    Outcome outcome = Outcome::ok;
    std::string held;
};

struct Gateway::Request {
    Request(asio::io_context &io) : timer(io) {}
    RequestId id = 0;
    GatewayId record = 0;
    std::shared_ptr<DownstreamRequest> taken;
    std::string name;                      // the client's own id of it
    Duration came{}, clientEnd{}, told{};  // told: the end that the module works to
    std::vector<Attempt> attempts;
    bool answered = false;
    int streaming = -1;  // the try whose answer the client is getting
    asio::steady_timer timer;

    bool outstanding() const {
        return std::ranges::any_of(attempts, [](const Attempt &t) { return !t.over; });
    }
};

namespace {

const char *nameOf(Outcome outcome) {
    switch (outcome) {
    case Outcome::ok:
        return "ok";
    case Outcome::error:
        return "error";
    case Outcome::overloaded:
        return "full";
    case Outcome::timeout:
        return "timeout";
    case Outcome::connectFailed:
        return "connect-failed";
    case Outcome::reset:
        return "reset";
    case Outcome::cancelled:
        return "cancelled";
    case Outcome::obsolete:
        return "moot";
    case Outcome::malformed:
        return "unreadable";
    }
    return "moot";
}

template <class... F>
struct Overload : F... {
    using F::operator()...;
};
template <class... F>
Overload(F...) -> Overload<F...>;

}  // namespace

// ---- the calls to instances ----

void Gateway::AttemptObserver::onResponse(std::string_view part) {
    if (const auto it = gateway.requests.find(id); it != gateway.requests.end())
        gateway.pass(*it->second, attemptNumber, part);
}

void Gateway::AttemptObserver::onCallEnd(Outcome outcome) {
    gateway.turn();
    ++gateway.socketEvents;
    const auto it = gateway.requests.find(id);
    if (it == gateway.requests.end())
        return;
    if (outcome == Outcome::ok)
        return gateway.complete(*it->second, attemptNumber);
    gateway.later([g = &gateway, request = id, no = attemptNumber, outcome] {
        g->attemptEnded(request, no, outcome);
    });
}

nlohmann::json countsOf(const Gateway &gateway) {
    const auto &c = gateway.counts();
    return {{"taken", c.taken},
            {"completed", c.completed},
            {"shed", c.shed},
            {"errored", c.errored},
            {"gone", c.gone},
            {"inHand", gateway.inHand()},
            {"tries", c.attempts},
            {"overdue", c.overdue},
            {"standstills", c.standstills},
            {"turnedAway", c.turnedAway},
            {"decidingMs", milliseconds(c.deciding)},
            {"longestDecidingMs", milliseconds(c.longestDeciding)}};
}

// ---- start and end ----

Gateway::Gateway(asio::io_context &io, const Clock &time, GatewaySettings with,
                 std::uint64_t seeded, Log to, const asio::ip::tcp::endpoint &listen,
                 ShellFaults wrong)
    : Gateway(io, time, std::move(with), seeded, std::move(to), HttpTransport(io, listen), wrong) {}

Gateway::Gateway(asio::io_context &io, const Clock &time, GatewaySettings with,
                 std::uint64_t seeded, Log to, const Transport &transport, ShellFaults wrong)
    : context(io), clock(time), given(std::move(with)), seed(seeded), log(std::move(to)),
      faults(wrong), chance(seeded), nextRequestId((seeded & 0xffffff) << 24), lastSeen(time.now()),
      upstreams(transport.upstreams(given)), sweeper(io),
      downstream(transport.downstream(
          given, {[this](std::shared_ptr<DownstreamRequest> taken) { arrived(std::move(taken)); },
                  [this] { ++counted.unrouted; }})) {
    controlPlane = transport.controlPlane(
        given, {[this] { return turn(); },
                [this](Event event) {
                    ++socketEvents;
                    later([this, event = std::move(event)] {
                        const auto *toldNow = std::get_if<EndpointListUpdate>(&event);
                        if (toldNow && feed)
                            return feed->onControlPlaneUpdate(*toldNow);
                        if (std::holds_alternative<EndpointListFailed>(event) && feed)
                            feed->onControlPlaneFailure();
                        happened(event);
                    });
                }});
    startModule();
    startFeed({});
    sweep();
}

Gateway::~Gateway() {
    *alive = false;
    for (auto &[id, request] : requests) {
        request->taken->onGone = nullptr, request->taken->onDrained = nullptr;
        for (Attempt &t : request->attempts)
            if (!t.over)
                t.call->release(lastSeen);
    }
}

void Gateway::startModule() {
    ++current;
    records[current] = 0;
    PolicySettings values = given.module;
    values.seed = seed + std::uint64_t(current) * 0x9e3779b97f4a7c15u;
    happened(PolicyStarted{std::move(values)}, current);
}

void Gateway::remember(const std::vector<ListedEndpoint> &saved) {
    EndpointListUpdate known{true, {}};
    for (const auto &s : saved) {
        EndpointEntry e = entryOf(s, given);
        if (s.age)
            e.startedAt = turn() - *s.age;
        known.entries.push_back(std::move(e));
    }
    happened(known);
}

void Gateway::remember(const std::vector<membership::SavedSource> &saved) {
    startFeed(saved);
}

void Gateway::startFeed(const std::vector<membership::SavedSource> &saved) {
    const auto before = std::move(feed);
    if (!given.sources)
        return;
    feed = std::make_unique<EndpointWatcher>(
        context, clock, given, chance(), log, [this] { return turn(); },
        [this, here = std::weak_ptr(alive)](Event event) {
            if (!here.expired())
                later([this, event = std::move(event)] { happened(event); });
        },
        saved, saved.empty() ? before.get() : nullptr);
    feed->onRead = [this] {
        if (onListed)
            onListed();
    };
}

bool Gateway::mayRestartModule() const {
    std::vector<EndpointEntry> entries;
    for (const auto &[id, e] : list)
        entries.push_back(e);
    return membership::mayStartAnew(entries, told ? std::optional(told->phase) : std::nullopt);
}

void Gateway::apply(GatewaySettings settings, bool newModule, bool sourcesMoved) {
    const bool controlPlaneMoved =
        settings.controlPlane.has_value() != given.controlPlane.has_value() ||
        (settings.controlPlane && settings.controlPlane->address != given.controlPlane->address);
    // A request in hand keeps its rule's number: rules only change with the module, which then
    // starts anew.
    given = std::move(settings);
    downstream->limit();
    if (newModule) {
        const GatewayId before = current;
        startModule();
        EndpointListUpdate known{true, {}};
        for (const auto &[id, e] : list)
            known.entries.push_back(e);
        happened(known, current);
        if (told)
            happened(RolloutUpdate{false, Outcome::ok, told->build, told->step, told->phase,
                                   told->exposureLimit, told->age},
                     current);
        if (records[before] == 0)
            records.erase(before), happened(PolicyStopped{}, before);
    }
    if (sourcesMoved)
        startFeed({});
    if (controlPlaneMoved || (sourcesMoved && !feed))
        controlPlane->follow(true);
}

void Gateway::drain(std::function<void()> done) {
    drained = std::move(done);
    downstream->drain([this] {
        frontEnded = true;
        checkDrained();
    });
}

void Gateway::checkDrained() {
    if (drained && frontEnded && unanswered == 0)
        asio::post(context, std::exchange(drained, nullptr));
}

void Gateway::endInHand() {
    ended = true;
    endOverdue([](const Request &) { return true; });
}

// Answers requests for the module: it hears of them as gone.
void Gateway::endOverdue(const std::function<bool(const Request &)> &which) {
    std::vector<RequestId> overdue;
    for (const auto &[id, request] : requests)
        if (!request->answered && which(*request))
            overdue.push_back(id);
    for (const RequestId id : overdue) {
        ++counted.overdue;
        finish(*requests.at(id), "errored", true, Duration{0});
        later([this, id] { clientGone(id); });
    }
}

// ---- time ----

// Every way in passes here. A turn much later than the one before means that this process stood
// still: what it finds came meanwhile, and its own lateness is no instance's latency. So the
// module's clock stays at the last turn until all that has come is read; only then it jumps. What
// is past its end is answered before anything else.
Duration Gateway::turn() {
    const Duration real = clock.now();
    const Duration gap = real - lastSeen;
    lastSeen = std::max(real, lastSeen);
    if (!frozen && gap > given.standstill) {
        frozen = true, frozenAt = real - gap;
        ++counted.standstills;
        log.warn("standstill", {{"ms", milliseconds(gap)}});
        endOverdue([real](const Request &request) {
            return request.streaming < 0 && real >= request.told;
        });
        thawSoon(0);
    }
    return frozen ? frozenAt : lastSeen;
}

void Gateway::thawSoon(int rounds) {
    asio::post(context, [this, rounds, here = std::weak_ptr(alive), before = socketEvents] {
        if (here.expired())
            return;
        // Two quiet turns: the loop has looked at all sockets and found no more.
        if (rounds < 2 || (socketEvents != before && rounds < kThawRounds))
            return thawSoon(rounds + 1);
        thaw();
    });
}

void Gateway::thaw() {
    frozen = false;
    lastSeen = clock.now();
    for (const auto &what : std::exchange(waiting, {}))
        what();
}

void Gateway::later(std::function<void()> what) {
    turn();
    if (frozen)
        waiting.push_back(std::move(what));
    else
        what();
}

// ---- requests from clients ----

void Gateway::arrived(std::shared_ptr<DownstreamRequest> taken) {
    turn();
    ++socketEvents;
    if (ended || unanswered >= given.maxRequestsInFlight) {
        ++counted.turnedAway;
        return taken->shed(taken->attributes.name, given.turnedAwayFor);
    }
    // What is read after a standstill came at some time during it: the earliest is taken, as its
    // client may wait since.
    const Duration came = frozen ? frozenAt : lastSeen;
    ++unanswered;  // in hand from here on
    later([this, taken = std::move(taken), came] { take(taken, came); });
}

void Gateway::take(std::shared_ptr<DownstreamRequest> taken, Duration came) {
    const RequestId id = ++nextRequestId & ((RequestId{1} << 52) - 1);
    auto made = std::make_unique<Request>(context);
    Request &request = *made;
    request.id = id, request.record = current, request.taken = std::move(taken);
    const RequestAttributes &attributes = request.taken->attributes;
    request.came = came, request.clientEnd = came + attributes.wait,
    request.told = request.clientEnd - given.answerMargin;
    RequestArrived in{id, attributes.key, int(attributes.route), attributes.tenant, request.told};
    request.name = attributes.name;
    if (request.name.empty())
        request.name = given.id + "-" + std::to_string(id);
    requests.emplace(id, std::move(made));
    ++records[current], ++counted.taken;
    if (!request.taken->open()) {  // its client left while the clock stood
        request.answered = true, --unanswered, ++counted.gone;
        return forget(request);
    }
    if (lastSeen >= request.told) {  // nothing was sent for it: saying so lets the client come back
        finish(request, "shed", false, given.module.maxRetryAfter);
        return forget(request);
    }
    request.taken->onGone = [this, id] {
        turn();
        ++socketEvents;
        later([this, id] { clientGone(id); });
    };
    watchDeadline(request);
    happened(std::move(in), request.record);
}

void Gateway::clientGone(RequestId id) {
    const auto it = requests.find(id);
    if (it == requests.end())
        return;
    Request &request = *it->second;
    if (!request.answered) {
        request.answered = true, --unanswered, ++counted.gone;
        logRequest(request, "gone");
    }
    happened(RequestAbandoned{id}, request.record);
    // A stream has no reader any more; other attempts end by the module's word, or by their time.
    const auto again = requests.find(id);
    if (again == requests.end())
        return;
    if (request.streaming >= 0 && !request.attempts[std::size_t(request.streaming)].over)
        return attemptEnded(id, request.streaming, Outcome::cancelled);
    // What no instance can have got whole does not go out for it any more, whatever the settings
    // say of those that have been handed over.
    for (std::size_t k = 0; k < request.attempts.size(); ++k)
        if (!request.attempts[k].over && !request.attempts[k].call->startedSending()) {
            attemptEnded(id, int(k), Outcome::obsolete);
            if (!requests.contains(id))
                return;
        }
    if (!request.outstanding())
        forget(request);
}

void Gateway::watchDeadline(Request &request) {
    wakeIn(request, request.told - lastSeen);
}

void Gateway::wakeIn(Request &request, Duration after) {
    request.timer.expires_after(std::max(Duration{0}, after));
    request.timer.async_wait(
        [this, id = request.id, here = std::weak_ptr(alive)](asio::error_code fault) {
            if (fault || here.expired())
                return;
            later([this, id] { deadline(id); });
        });
}

void Gateway::deadline(RequestId id) {
    const auto it = requests.find(id);
    if (it == requests.end())
        return;
    Request &request = *it->second;
    const Duration at = lastSeen;
    for (std::size_t k = 0; k < request.attempts.size(); ++k)
        if (at >= request.told) {
            stillOut(id, k);  // what has come in time is no time-out
            if (!requests.contains(id))
                return;
        }
    for (std::size_t k = 0; k < request.attempts.size(); ++k)
        if (!request.attempts[k].over && !request.attempts[k].streaming && at >= request.told) {
            attemptEnded(id, int(k), Outcome::timeout);
            if (!requests.contains(id))
                return;
        }
    if (request.answered || request.streaming >= 0)
        return;
    if (at < request.told)
        return watchDeadline(request);
    // The module's own turn to answer comes first.
    if (at < request.told + given.answerMargin / 2)
        return wakeIn(request, request.told + given.answerMargin / 2 - at);
    // Guards the client against a module that holds a request too long: it never should.
    ++counted.overdue;
    finish(request, "errored", true, Duration{0});
    clientGone(id);
}

void Gateway::finish(Request &request, const char *end, bool late, Duration retryAfter) {
    if (request.answered)
        return;
    request.answered = true, --unanswered;
    const bool shed = end[0] == 's';
    ++(shed ? counted.shed : counted.errored);
    if (request.streaming >= 0)
        request.taken->abort();
    else if (shed)
        request.taken->shed(request.name, retryAfter);
    else
        request.taken->errored(request.name, late);
    logRequest(request, end);
    checkDrained();
}

void Gateway::logRequest(const Request &request, const char *end) {
    if (!log.on() || given.requestLogSample <= 0 ||
        std::generate_canonical<double, 32>(chance) >= given.requestLogSample)
        return;
    nlohmann::json attempts = nlohmann::json::array();
    for (const Attempt &t : request.attempts)
        attempts.push_back({{"instance", t.endpoint},
                            {"build", t.build},
                            {"outcome", t.over ? nameOf(t.outcome) : "out"},
                            {"sentMs", milliseconds(t.sent - request.came)}});
    log.info("req", {{"req", request.name},
                     {"key", request.taken->attributes.key},
                     {"route", given.routes[request.taken->attributes.route].name},
                     {"end", end},
                     {"tries", std::move(attempts)},
                     {"ms", milliseconds(lastSeen - request.came)}});
}

void Gateway::forget(Request &request) {
    if (request.outstanding() || !request.answered)
        return;
    const GatewayId record = request.record;
    request.taken->onGone = nullptr, request.taken->onDrained = nullptr;
    requests.erase(request.id);
    if (--records[record] == 0 && record != current)
        records.erase(record), happened(PolicyStopped{}, record);
    checkDrained();
}

// ---- events in, actions out ----

void Gateway::happened(Event event) {
    std::optional<BuildNumber> lower;  // its cap has been lowered
    if (const auto *l = std::get_if<EndpointListUpdate>(&event))
        note(*l);
    if (const auto *s = std::get_if<RolloutUpdate>(&event); s && s->outcome == Outcome::ok) {
        const RolloutStage now{s->build, s->step, s->phase, s->exposureLimit, s->age};
        if (!told || told->build != now.build || told->step != now.step || told->phase != now.phase)
            log.info("stage", {{"build", now.build},
                               {"step", now.step},
                               {"phase", nameOf(now.phase)},
                               {"cap", now.exposureLimit}});
        if (told && told->build == now.build && now.exposureLimit < told->exposureLimit)
            lower = now.build;
        told = now;
    }
    for (const auto &[record, n] : records)
        queue.emplace_back(record, event);
    decide();
    if (std::holds_alternative<EndpointListUpdate>(event))
        endUnsent([this](const Attempt &t) {
            const auto entry = list.find(t.endpoint);
            return entry != list.end() && entry->second.state == EndpointState::active &&
                   entry->second.build == t.build;
        });
    if (lower)
        endUnsent([lower](const Attempt &t) { return t.build != *lower; });
}

// A try that is still on its way when its instance is told to drain, to run another build, or its
// build to have a lower cap, would break what has just been told: it ends as one that could not be
// connected, and where the request goes then is the module's.
void Gateway::endUnsent(const std::function<bool(const Attempt &)> &stays) {
    std::vector<std::pair<RequestId, int>> unsent;
    for (const auto &[id, request] : requests)
        for (std::size_t k = 0; k < request->attempts.size(); ++k) {
            const Attempt &t = request->attempts[k];
            if (!t.over && !stays(t) && !t.call->startedSending())
                unsent.push_back({id, int(k)});
        }
    for (const auto &[id, no] : unsent)
        attemptEnded(id, no, Outcome::connectFailed);
}

void Gateway::happened(Event event, GatewayId record) {
    queue.emplace_back(record, std::move(event));
    decide();
}

void Gateway::decide() {
    if (deciding)
        return;  // below it: the queue goes on there
    deciding = true;
    while (!queue.empty()) {
        const GatewayId record = queue.front().first;
        one.clear();
        one.push_back(std::move(queue.front().second));
        queue.pop_front();
        const Duration now = turn();
        const auto from = std::chrono::steady_clock::now();
        const auto actions = policy.decide(record, now, one);
        const auto took =
            std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - from);
        counted.deciding += took, counted.longestDeciding = std::max(counted.longestDeciding, took);
        ++counted.decisions;
        for (const auto &action : actions)
            carryOut(record, action);
    }
    deciding = false;
}

void Gateway::carryOut(GatewayId record, const Action &action) {
    std::visit(
        Overload{
            [&](const SendAttempt &a) { send(record, a); },
            [&](const CancelAttempt &a) {
                // What has come is no longer withdrawn, nor is an answer that the client is
                // getting.
                if (!stillOut(a.requestId, std::size_t(a.attemptNumber)))
                    return;
                const Request &request = *requests.at(a.requestId);
                if (!request.attempts[std::size_t(a.attemptNumber)].streaming || request.answered)
                    attemptEnded(a.requestId, a.attemptNumber, Outcome::cancelled);
            },
            [&](const ShedRequest &a) {
                const auto it = requests.find(a.requestId);
                if (it == requests.end())
                    return;
                finish(*it->second, "shed", false, a.retryAfter);
                forget(*it->second);
            },
            [&](const FailRequest &a) {
                const auto it = requests.find(a.requestId);
                if (it == requests.end())
                    return;
                const auto &attempts = it->second->attempts;
                const bool late =
                    !attempts.empty() && (attempts.back().outcome == Outcome::timeout ||
                                          attempts.back().outcome == Outcome::cancelled);
                finish(*it->second, "errored", late, Duration{0});
                forget(*it->second);
            },
            [&](const SetTimer &a) {
                const auto timer = std::make_shared<asio::steady_timer>(context, a.delay);
                timer->async_wait(
                    [this, record, timer, here = std::weak_ptr(alive)](asio::error_code fault) {
                        if (!fault && !here.expired())
                            later([this, record] { happened(TimerFired{}, record); });
                    });
            },
            [&](const ProbeEndpoint &a) { probe(record, a); },
            [&](const WatchEndpoints &a) {
                if (record != current)
                    return;
                controlPlane->follow(a.active);
                if (feed && a.active)
                    feed->tellAgain();
            },
            [&](const Vote &a) {
                if (record != current)
                    return;  // one vote a gateway
                log.info("vote",
                         {{"build", a.build}, {"step", a.step}, {"verdict", nameOf(a.verdict)}});
                controlPlane->vote(a, given.module.voteTimeout);
            },
            [&](const LogLine &a) {
                log.info("module", {{"words", a.message}});
            },
        },
        action);
}

void Gateway::send(GatewayId record, const SendAttempt &what) {
    const auto it = requests.find(what.requestId);
    if (it == requests.end())
        return;
    Request &request = *it->second;
    const int no = int(request.attempts.size());
    EndpointId endpoint = what.endpoint;
    if (faults.sendsAfterDrain && !drainingServer.empty() && no == 0)
        endpoint = drainingServer;
    const auto moot = [&](Outcome outcome, bool over = false) {
        Attempt none;
        none.endpoint = what.endpoint, none.over = true, none.outcome = outcome, none.sent = turn();
        request.attempts.push_back(std::move(none));
        happened(AttemptEnded{what.requestId, no, over || request.answered, outcome}, record);
    };
    // Its client has closed, and this loop has not come to read that yet.
    if (!request.answered && !request.taken->isClientConnected())
        return moot(Outcome::obsolete, true);
    // The request is over, or bound to an answer that has begun, or its end has passed on the real
    // clock.
    if (request.answered || request.streaming >= 0 || lastSeen >= request.told)
        return moot(Outcome::obsolete);
    const auto call = upstreams->take(endpoint);
    if (!call)
        return moot(Outcome::connectFailed);  // no address, or its connections are all in use
    ++counted.attempts;
    Attempt t;
    t.endpoint = endpoint, t.call = call, t.sent = turn(), t.progress = t.sent;
    if (const auto entry = list.find(endpoint); entry != list.end())
        t.build = entry->second.build;
    t.sink = std::make_unique<AttemptObserver>(*this, request.id, no);
    AttemptObserver *sink = t.sink.get();
    const BuildNumber build = t.build;
    request.attempts.push_back(std::move(t));
    call->start(
        *request.taken, request.name, [this, id = request.id] { return preSendCheck(id); }, build,
        sink);
}

// The last look before a try's first byte: its connection may have taken a while.
std::optional<Duration> Gateway::preSendCheck(RequestId id) {
    const auto it = requests.find(id);
    if (it == requests.end())
        return std::nullopt;
    const Request &request = *it->second;
    const Duration now = clock.now();
    if (request.answered || now >= request.told || !request.taken->isClientConnected())
        return std::nullopt;
    return request.clientEnd - now;
}

// Whether a try is out, once what has come of its answer is read: that may end it, and its request.
bool Gateway::stillOut(RequestId id, std::size_t no) {
    const auto out = [&] {
        const auto it = requests.find(id);
        return it != requests.end() && no < it->second->attempts.size() &&
               !it->second->attempts[no].over;
    };
    if (!out())
        return false;
    const auto call = requests.at(id)->attempts[no].call;  // it may go with its request
    call->look();
    return out();
}

void Gateway::attemptEnded(RequestId id, int attemptNumber, Outcome outcome) {
    const auto it = requests.find(id);
    if (it == requests.end())
        return;
    Request &request = *it->second;
    Attempt &t = request.attempts[std::size_t(attemptNumber)];
    if (t.over)
        return;
    t.over = true, t.outcome = outcome;
    // Nothing may come of a try whose outcome has been told: a connection in the middle of one is
    // closed.
    t.call->release(lastSeen);
    t.held.clear();
    bool over = request.answered;
    if (request.streaming == attemptNumber && !request.answered) {
        // The answer broke off in the middle: only a cut connection tells the client.
        finish(request, "errored", false, Duration{0});
        over = true;
    }
    if (faults.repeatsNonRetriable && outcome == Outcome::reset)
        if (const auto again = upstreams->take(t.endpoint)) {
            again->start(
                *request.taken, request.name,
                [most = given.upstream.stalledFor] { return std::optional(most); }, t.build,
                &nobody);
            repeats.push_back(again);
        }
    happened(AttemptEnded{id, attemptNumber, over, outcome}, request.record);
    if (const auto left = requests.find(id); left != requests.end())
        forget(*left->second);
}

// A part of an answer: held back while it is short enough to be passed on whole, else streamed as
// it comes.
void Gateway::pass(Request &request, int attemptNumber, std::string_view part) {
    turn();
    ++socketEvents;
    Attempt &t = request.attempts[std::size_t(attemptNumber)];
    t.progress = lastSeen;
    if (!t.streaming) {
        t.held.append(part);
        if (t.held.size() <= given.upstream.heldAnswerBytes || request.answered ||
            request.streaming >= 0) {
            if (t.held.size() > given.upstream.heldAnswerBytes)
                t.held.clear();  // nobody will get it
            return;
        }
        request.streaming = attemptNumber, t.streaming = true;
        request.timer.cancel();
        request.taken->onDrained = [this, id = request.id, attemptNumber] {
            const auto it = requests.find(id);
            if (it == requests.end())
                return;
            Attempt &paused = it->second->attempts[std::size_t(attemptNumber)];
            if (!paused.over)
                paused.progress = turn(), paused.call->resume();
        };
        request.taken->begin(*t.call);
        request.taken->write(std::exchange(t.held, {}));
    } else
        request.taken->write(part);
    // A reader slower than the instance holds the instance back, not this process's memory.
    if (request.taken->waiting() > given.listener.waitingBytes)
        t.call->pause();
}

void Gateway::complete(Request &request, int attemptNumber) {
    Attempt &t = request.attempts[std::size_t(attemptNumber)];
    if (t.over)
        return;
    t.over = true, t.outcome = Outcome::ok;
    t.call->release(lastSeen);
    const bool first =
        !request.answered && (request.streaming < 0 || request.streaming == attemptNumber);
    if (first) {
        if (request.streaming == attemptNumber)
            request.taken->end();
        else
            request.taken->completed(*t.call, t.held);
        if (faults.answersTwice)
            request.taken->injectDuplicateResponse();
        request.answered = true, --unanswered, ++counted.completed;
        logRequest(request, "completed");
        if (given.passedKept > 0 &&
            passed.try_emplace(request.name, Passed{t.endpoint, t.sent}).second)
            passedOrder.push_back(request.name);
        if (passedOrder.size() > given.passedKept)
            passed.erase(passedOrder.front()), passedOrder.pop_front();
    }
    const RequestId id = request.id;
    t.held = {};
    happened(AttemptEnded{id, attemptNumber, true, Outcome::ok}, request.record);
    if (const auto left = requests.find(id); left != requests.end())
        forget(*left->second);
}

// ---- probes, lists ----

void Gateway::probe(GatewayId record, const ProbeEndpoint &what) {
    upstreams->probe(what.endpoint, [this, record, endpoint = what.endpoint,
                                     here = std::weak_ptr(alive)](std::vector<double> load) {
        if (here.expired())
            return;
        ++socketEvents;
        later([this, record, endpoint, load = std::move(load)] {
            happened(ProbeEnded{endpoint, load}, record);
        });
    });
}

void Gateway::note(const EndpointListUpdate &told_) {
    if (told_.complete) {
        std::set<EndpointId> still;
        for (const auto &e : told_.entries)
            still.insert(e.id);
        for (const auto &[id, e] : list)
            if (!still.contains(id))
                upstreams->closeIdle(id);
        list.clear();
    }
    for (const auto &e : told_.entries) {
        if (e.state == EndpointState::removed)
            list.erase(e.id);
        else
            list[e.id] = e;
        if (e.state != EndpointState::active)
            upstreams->closeIdle(e.id);
        if (e.state == EndpointState::draining)
            drainingServer = e.id;
    }
    if (onListed)
        onListed();
}

std::vector<ListedEndpoint> Gateway::listed() const {
    std::vector<ListedEndpoint> out;
    for (const auto &[id, e] : list)
        out.push_back(listedOf(e, given.zones, lastSeen));
    return out;
}

bool Gateway::reportIncorrectResponse(const std::string &requestId) {
    const auto it = passed.find(requestId);
    if (it == passed.end())
        return false;
    if (std::exchange(it->second.reported, true))
        return true;  // known: one answer is wrong once
    const Passed what = it->second;
    later([this, what] { happened(IncorrectResponseReported{what.endpoint, turn() - what.sent}); });
    return true;
}

void Gateway::sweep() {
    const Duration now = turn();
    if (!frozen) {
        upstreams->sweep(now);
        std::vector<std::pair<RequestId, int>> stalled;
        for (const auto &[id, request] : requests)
            if (request->streaming >= 0) {
                const Attempt &t = request->attempts[std::size_t(request->streaming)];
                const bool slowReader = request->taken->waiting() > 0;  // the listener ends those
                if (!t.over && !slowReader && now - t.progress > given.upstream.stalledFor)
                    stalled.push_back({id, request->streaming});
            }
        for (const auto &[id, no] : stalled)
            attemptEnded(id, no, Outcome::timeout);
    }
    sweeper.expires_after(upstreams->sweepEvery());
    sweeper.async_wait([this, here = std::weak_ptr(alive)](asio::error_code fault) {
        if (!fault && !here.expired())
            sweep();
    });
}

}  // namespace deckcart
