// The decision module. Callers reach it by Policy::decide, once for each instance and batch, with
// what happened; it returns what that instance does now. The interface is
// include/deckcart/policy.hpp.
//
// A request goes through: place() picks the build (sticky hash under 0.7 of the cap), pick() the
// endpoint (lower of two), send() passes passes() - the one place that holds the rules - and
// settle() reads how a try ended. judge() compares the trial build with the earlier one, window by
// window, and sets the vote.
#include <algorithm>
#include <cmath>
#include <deckcart/policy.hpp>
#include <deque>
#include <random>
#include <set>

namespace deckcart {
namespace {

using namespace std::chrono_literals;

// The design's values: first sends under this part of the cap, least counts for a window and for
// its p95, tolerances, streaks, the cold exclusion and the stretch without failures that casts
// 'on'.
constexpr double kHashShare = 0.7, kFailMargin = 0.05, kFailRatio = 2;
constexpr int kWindowLeast = 20, kSlowLeast = 50, kHealthyStreak = 3, kUnhealthyStreak = 2;
constexpr Duration kWindowSpan = 1s, kSlowMargin = 20ms, kColdEvidence = 5s, kQuiet = 5s;
// ---- Tuned values, each with its reason ----
constexpr double kSlowRatio =
    2;  // p95, not 1.5: at high load a build one tenth slower queues twice as long
constexpr Duration kTick = 20ms;  // housekeeping: well under the shortest wait that it decides on
constexpr Duration kCountEvery =
    100ms;  // endpoints are counted, builds judged: nothing they tell changes sooner
constexpr Duration kSlowSpan = 10s;  // latencies are kept this long to find the least count
constexpr double kOneServer =
    1.6;  // a build is slow on most of its endpoints by this much, not on one
constexpr std::size_t kReference =
    200;  // latencies of the earlier build under full load that are kept
constexpr double kFleetSlow =
    1.2;  // times its full-load median that make the earlier build slow as well
constexpr double kPulseDoubt =
    1.5;  // over the root of the answers: about one spread of such a median
constexpr std::size_t kPulseLeast = 15;  // answers that give a median good enough for it
constexpr Duration kPulseSpan =
    1500ms;  // of this long at most: it must follow a pause of the trial build
constexpr Duration kSlowFor = 700ms,
                   kClearFor = 8s;  // slow before a pause or blame; no new pause once cleared
constexpr Duration kPauseMost = 4s,
                   kResumeMost = 6s;  // by then no help of a pause, or no return, clears
constexpr double kHelped =
    0.4;  // part of the excess that is left when a pause has helped: most has gone
constexpr Duration kFullFor =
    5s;  // the fleet counts as full for this long after a shed: some jams and pauses
constexpr Duration kPatience =
    2500ms;  // 'on' 2 s after the stage's clock has started; half more as we guess it
constexpr Duration kOvertaken =
    8s;  // news are late by less: what still tells a passed stage then offers it again
constexpr Duration kClockLag = 1s,
                   kMachinesLate = 8s;  // a stage's clock: after its last machine; at the latest
constexpr double kColdMargin =
    0.5;  // part of the tip multiple that is used: unequal gateways add up
constexpr double kRetryRate = 0.2,
                 kRetryBurst = 10;  // further attempts a request, more would feed a jam; saved up
constexpr double kLatencyGain = 0.25,
                 kLatencyFade = 4;  // of a new latency; seconds until it has mostly faded
constexpr int kEjectAfter = 2;      // unanswered attempts in a row that put a endpoint aside
constexpr double kMostAside =
    0.4;  // part of a build put aside at most: beyond it is no machine's trouble
constexpr double kSilent =
    4;  // times the usual latency, fleet's slowness included, that tell of silence
constexpr double kShedFrom = 0.45,
                 kShedSpan = 0.5;  // of the objective: half a mean's head-room, evenly more
constexpr Duration kPaceSpan =
    1s;  // answers of this long give the pace: some latencies, not a surge's length
constexpr Duration kFateSpan = 4s;  // ends of this long show a jam: some answers of a small gateway
constexpr double kThrottle =
    2;  // requests let through for each that ends in time: a fleet that heals is found
constexpr double kFewUnderWay = 4,
                 kOverShare = 1.25;  // requests that are no jam; times its share that are excess
constexpr Duration kEjectFirst = 1s, kEjectMost = 8s;  // time aside, doubled each time in a row
constexpr int kPairsBack = 3,
              kWrongBack = 2;  // requests failed on trial only, reports of wrong answers: 'back'
constexpr double kAtHome =
    0.6;  // of other zones' choices passed over: one zone of three keeps over half
constexpr int kManyGateways =
    16;  // from so many on, own in-flight is a small part of what a endpoint holds
constexpr double kFleetLoses =
    0.2;  // of the earlier build's attempts: then failures are not the trial's alone
constexpr int kPooledVotes =
    4;  // where 'back' takes so many votes, each may rest on little evidence
constexpr double kPooledFails =
    0.1;  // of its trial attempts failed or wrong: two of a good build's are rare
constexpr double kPooledSlow = 1.4,
                 kPooledLeast = 4;  // slower by this factor, on so many answers of each
constexpr double kPooledHold = 1,
                 kPooledBack = 2;  // and by so many standard errors: no quiet; 'back'
constexpr Duration kStageTuned =
    1500ms;  // the waits on a stage rest on a least stage of this; shorter ones shrink them
constexpr Duration kMootRetry = 1s,
                   kVoteRetry = 250ms;  // pauses: the stage has passed or is young; turned away

double secs(Duration s) {
    return std::chrono::duration<double>(s).count();
}
Duration span(double seconds) {
    return Duration{std::llround(seconds * 1e6)};
}

bool provesNotRun(Outcome outcome) {
    return outcome == Outcome::overloaded || outcome == Outcome::connectFailed ||
           outcome == Outcome::obsolete;
}
// Refusals and failed connects are capacity or machine trouble; cancelled attempts were our own
// doing.
bool isFailure(Outcome outcome) {
    return outcome == Outcome::error || outcome == Outcome::timeout || outcome == Outcome::reset;
}

// One record a endpoint, found by its id.
struct Endpoint {
    EndpointEntry entry;
    std::set<std::pair<Duration, RequestId>> out;  // attempts under way, oldest first
    double slowness = 1;                           // latency over the route's usual one, decaying
    Duration slownessAt{};
    Duration answeredAt{};  // the latest answer of any kind
    int unanswered = 0;     // attempts in a row without an answer
    Duration asideUntil{};
    Duration asideFor{};
    std::deque<Duration> coldSends;
    BuildNumber ranBefore = 0;  // the build that the id was listed with until then
    Duration changedAt{};
    double inHand = 0;  // requests that it holds, of all gateways, as last told
    Duration inHandAt{};
    int given = 0;          // its answers among the record's `done`
    Duration goneAt{};      // left the list then
    double coldChance = 0;  // rounds the broken part of what may be sent while cold

    bool listed() const { return entry.state == EndpointState::active; }
    Duration age(Duration now) const {
        return entry.startedAt ? now - *entry.startedAt : Duration{1h};
    }
};

struct Attempt {
    Endpoint *endpoint;
    BuildNumber build;
    int zone, cell;
    Duration sent;
    bool cold;
    bool out = true;
    bool calledOff = false;  // given up on, or copied, for the endpoint's silence
    Outcome outcome = Outcome::ok;

    bool mayHaveRun() const { return out || !provesNotRun(outcome); }
};

struct Request {
    RequestArrived in;
    Duration arrived;
    std::vector<Attempt> attempts;
    bool answered = false;
    std::vector<Endpoint *> asked;  // the two choices while their load is asked for
    std::size_t waiting = 0;        // of these, not answered yet

    bool outstanding() const { return std::ranges::any_of(attempts, &Attempt::out); }
    const Attempt *firstThatMayHaveRun() const {
        const auto it = std::ranges::find_if(attempts, &Attempt::mayHaveRun);
        return it == attempts.end() ? nullptr : &*it;
    }
};

double quantile(std::vector<double> values, double q) {
    if (values.empty())
        return 0;
    const auto at = std::min(values.size() - 1, std::size_t(q * double(values.size())));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[at];
}

// What one build did in a window, by route.
struct Arm {
    struct Cell {
        double n = 0, fails = 0, errors = 0,
               slow = 0;  // slow: sum of the completed attempts' slowness
    };
    std::map<int, Cell> routes;
    std::deque<std::pair<Duration, double>>
        slowness;  // of completed attempts, over the route's usual latency
    std::map<EndpointId, Cell> endpoints;

    double sum(double Cell::*what) const {
        double n = 0;
        for (const auto &[r, c] : routes)
            n += c.*what;
        return n;
    }
    double count() const { return sum(&Cell::n); }
    bool losesMany() const { return sum(&Cell::fails) >= std::max(4.0, kFleetLoses * count()); }
    void add(int route, const EndpointId &endpoint, bool failed, bool error, double ratio) {
        for (Cell *c : {&routes[route], &endpoints[endpoint]})
            c->n += 1, c->fails += failed, c->errors += error, c->slow += failed ? 0 : ratio;
    }
    // The lower median endpoint's mean slowness, or share of failures, of those with some answers.
    double common(bool failures) const {
        std::vector<double> means;
        for (const auto &[id, c] : endpoints)
            if (failures ? c.n >= 4 : c.n - c.fails >= 4)
                means.push_back(failures ? c.fails / c.n : c.slow / (c.n - c.fails));
        return quantile(std::move(means), 0.499);
    }
};

// Forgets what came by that time from a queue in order of time, bare or with something beside it.
Duration timeOf(Duration at) {
    return at;
}
template <class T>
Duration timeOf(const std::pair<Duration, T> &entry) {
    return entry.first;
}
template <class T>
void forget(std::deque<T> &queue, Duration until, auto leaves) {
    for (; !queue.empty() && timeOf(queue.front()) <= until; queue.pop_front())
        leaves(queue.front());
}
template <class T>
void forget(std::deque<T> &queue, Duration until) {
    forget(queue, until, [](const T &) {});
}

std::vector<double> valuesSince(const std::deque<std::pair<Duration, double>> &queue,
                                Duration since) {
    std::vector<double> values;
    for (const auto &[at, value] : queue)
        if (at >= since)
            values.push_back(value);
    return values;
}

// How many standard errors some answers are slower than others, beyond a factor, in the mean of
// their logs.
double slowerBy(const std::vector<double> &ours, const std::vector<double> &theirs) {
    double n[2]{}, mean[2]{}, squares = 0;
    for (const int k : {0, 1})
        for (const double ratio : k ? theirs : ours) {
            const double x = std::log(std::max(ratio, 0.01)), off = x - mean[k];
            mean[k] += off / ++n[k], squares += off * (x - mean[k]);
        }
    if (n[0] < kPooledLeast || n[1] < kPooledLeast)
        return 0;
    const double error = std::sqrt(squares / (n[0] + n[1] - 2) * (1 / n[0] + 1 / n[1]));
    return (mean[0] - mean[1] - std::log(kPooledSlow)) / std::max(error, 1e-9);
}

// The same for every gateway, whatever the standard library hashes with.
double place01(const std::string &text, std::uint64_t salt) {
    std::uint64_t h = 0xcbf29ce484222325u ^ (salt * 0x9e3779b97f4a7c15u);
    for (const char c : text)
        h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3u;
    h ^= h >> 31, h *= 0xbf58476d1ce4e5b9u, h ^= h >> 29;
    return double(h >> 11) / 9007199254740992.0;
}

}  // namespace

// One record an instance: all that a gateway knows.
struct Policy::Record {
    PolicySettings v;
    Duration now;
    std::mt19937 rng;
    std::vector<Action> out;

    std::map<EndpointId, Endpoint> endpoints;
    std::map<BuildNumber, std::vector<Endpoint *>> live;  // by build, as last listed; in any order
    // Of the live endpoints, at the last count: the stage's machines and places, and how warm they
    // are.
    struct {
        double ready = 0,
               others = 0;  // warmth that may be sent to, on the build told last and on the rest
        double fresh = 0, places = 0;
        Duration lastStart{};
        bool anyCold = false;
    } count;
    Duration countDue{};
    bool following = false;
    Duration askAgainAt{};

    std::map<RequestId, Request> requests;
    std::vector<std::deque<Duration>>
        taken;  // accepted requests by route, within the exposure span
    std::map<BuildNumber, std::vector<std::deque<Duration>>>
        trials;                 // attempts at a build by route, likewise
    std::vector<double> usual;  // by route: usual seconds of an answer
    std::vector<int> usualSeen;
    std::deque<std::pair<Duration, Endpoint *>>
        done;                   // answers of warm endpoints within the overload span
    std::deque<Duration> ends;  // answers within the last kPaceSpan
    double perServer = 0;       // of these, what one warm endpoint has given
    double fleet = 1;           // median slowness of the warm endpoints
    std::deque<std::pair<Duration, std::pair<int, bool>>>
        fates;  // requests that ended: tenant, whether in time
    std::map<int, std::pair<double, double>> fateOf;  // of these, by tenant: all, in time
    std::deque<std::pair<Duration, int>>
        recent;                    // accepted requests and their tenants, of the overload span
    std::vector<double> recentOf;  // of these, by tenant that has a share
    double retryBudget = kRetryBurst;
    std::map<std::string, BuildNumber> stays;  // keys that a build has answered
    BuildNumber allStay = 0;                   // all keys stay from this one on
    std::map<std::pair<std::string, BuildNumber>, int>
        asking;  // attempts under way by key and build, where keys stay

    bool told = false;  // stage news has come since the start
    RolloutUpdate news,
        lastTold;  // the furthest stage of the newest build; what was told last, be it older
    Duration newsBegan{};      // when the furthest stage began
    BuildNumber sentBack = 0;  // the last build that went back
    Duration firstTold{};      // since when this gateway knows of any stage

    Arm trial, earlier, lastEarlier;
    Duration windowBegan{};
    int healthy = 0, unhealthy = 0;
    Duration lastTrialFailure{};
    int pairsTrial = 0, pairsEarlier = 0, wrong = 0, canaryAttempts = 0;
    std::deque<std::pair<Duration, double>>
        met;  // trial attempts of the last vote life; over 0: as many bad ones
    bool bad = false, eased = false, votePending = false;
    Duration easedAt{}, shedAt{},
        pooledUntil{};  // shedAt: when a request was last shed for want of pace
    Verdict wanted = Verdict::none, standing = Verdict::none;
    Verdict lastVote = Verdict::none;
    Duration voteDue{}, voteSent{};
    std::string why, reason;
    Arm tallyTrial, tallyEarlier;
    int tallySick = 0, ownErrors = 0;
    std::deque<std::pair<Duration, double>>
        pulse;  // the earlier build's slowness within kPulseSpan
    enum class Suspicion { none, paused, resumed } suspicion = Suspicion::none;
    Duration suspectedAt{}, slowSince{}, clearUntil{};
    double slowAtPause = 0;
    std::vector<double>
        reference;  // slowness of the earlier build while it bore about all the requests

    Record(const PolicySettings &start, Duration at)
        : v(start), now(at),
          rng(static_cast<std::mt19937::result_type>(start.seed ^ (start.seed >> 32))),
          taken(routesCounted()), usual(v.routes.size()), usualSeen(v.routes.size()),
          recentOf(v.tenantQuotas.size()), windowBegan(at) {
        for (std::size_t r = 0; r < usual.size(); ++r)
            usual[r] = secs(v.routes[r].latencyObjective) / 4;
        if (v.subscriptionRequired)
            follow();
        timer();
    }

    std::size_t routesCounted() const { return v.exposurePerRoute ? v.routes.size() : 1; }
    std::size_t counted(int route) const { return v.exposurePerRoute ? std::size_t(route) : 0; }
    const Route &route(const Request &request) const {
        return v.routes.at(std::size_t(request.in.route));
    }
    void log(const std::string &words) { out.push_back(LogLine{words}); }
    void timer() { out.push_back(SetTimer{kTick}); }
    double usualOf(const Request &request) const { return usual[std::size_t(request.in.route)]; }
    bool many() const { return v.gateways >= kManyGateways; }
    bool shedOfLate() const { return shedAt != Duration{0} && now - shedAt < kFullFor; }
    double chance() { return double(rng()) / 4294967296.0; }
    std::size_t any(std::size_t n) { return std::size_t(rng() % n); }

    // The part of its capacity that a endpoint has by now, on the slowest path the settings allow.
    double warmth(const Endpoint &s) const {
        const Duration age = s.age(now);
        if (age >= v.warmUpTime || v.warmUpTime <= Duration{0})
            return 1;
        return v.initialCapacity +
               (1 - v.initialCapacity) * std::max(0.0, secs(age) / secs(v.warmUpTime));
    }
    // Whether it may not be warm yet, with a margin for the news of its start.
    bool cold(const Endpoint &s) const { return s.age(now) < v.warmUpTime + kWindowSpan; }
    double slowness(const Endpoint &s) const {
        const double keep = std::exp(-secs(now - s.slownessAt) / kLatencyFade);
        double figure = 1 + (s.slowness - 1) * keep;
        // The oldest try under way tells of a endpoint that answers nothing before any time-out
        // does.
        const auto oldest = s.out.empty() ? requests.end() : requests.find(s.out.begin()->second);
        if (oldest != requests.end())
            figure =
                std::max(figure, 0.5 * secs(now - s.out.begin()->first) / usualOf(oldest->second));
        return figure;
    }

    bool onTrial(BuildNumber b) const {
        return !told ? b > oldestListed()
                     : b > news.build || (b == news.build && news.phase != RolloutPhase::released);
    }
    BuildNumber oldestListed() const { return live.empty() ? 1 << 30 : live.begin()->first; }
    // The newest listed build that is not on trial; 0 if none.
    BuildNumber baseBuild() const {
        const auto at = std::find_if(live.rbegin(), live.rend(),
                                     [&](const auto &b) { return !onTrial(b.first); });
        return at == live.rend() ? 0 : at->first;
    }
    // For the rules the stricter one counts, the furthest stage or the one told last.
    bool bound(BuildNumber b) const {
        return onTrial(b) || (b == news.build &&
                              (lastTold.build < b || lastTold.phase != RolloutPhase::released));
    }
    double exposureLimit(BuildNumber b) const {
        const double first = v.exposureLimits.empty() ? 0 : v.exposureLimits.front();
        if (!told || b != news.build)
            return first;
        return std::min(news.exposureLimit, lastTold.build == b ? lastTold.exposureLimit : first);
    }
    // The part of the keys whose first sends go to the trial build: 0.7 of the cap. Exception:
    // while machines are missing or cold, what of the stage runs, by warmth: the few would be
    // crowded. Harm: one short.
    double trialShare() const {
        if (suspicion == Suspicion::paused)
            return 0;
        const double machines = std::max(1.0, stageShare() * count.places);
        const double share =
            kHashShare * news.exposureLimit * std::min(1.0, count.ready / machines);
        // At once where this gateway has shed of late (one of many sheds too seldom to know).
        const bool full = many() || shedOfLate();
        return eased || full
                   ? std::min(share, count.ready / std::max(1.0, count.ready + count.others))
                   : share;
    }
    void countServers() {
        countDue = now + kCountEvery;
        // Once no build below the released one is listed, one number stands for all the keys, or
        // they would add up for ever. Harm: earlier machines that return unannounced get nothing
        // until the build goes back.
        if (v.stickyKeys && told && news.phase == RolloutPhase::released &&
            oldestListed() == news.build)
            allStay = news.build, stays.clear();
        // Here, since nobody may read them for long: with no build on trial they grew with every
        // request.
        for (auto &queue : taken)
            forget(queue, now - v.exposureWindow + kTick);
        forget(pulse, now - kPulseSpan), forget(met, now - v.voteLifetime);
        count = {};
        std::vector<double> slow;
        for (const auto &[build, list] : live)
            for (Endpoint *s : list) {
                const bool isNew = build == news.build;
                if (v.inPlaceReplacement || withinColdBudget(*s))
                    (isNew ? count.ready : count.others) += warmth(*s);
                count.fresh += isNew;
                if (isNew)
                    count.lastStart =
                        std::max(count.lastStart, s->entry.startedAt.value_or(Duration{0}));
                count.places += v.inPlaceReplacement || !isNew;
                count.anyCold = count.anyCold || cold(*s);
                if (s->age(now) >= coldEvidence() && !aside(*s))
                    slow.push_back(slowness(*s));
            }
        // Servers that have left since gave some of these answers: who is left did not bear them
        // all.
        forget(done, now - v.overloadWindow, [](const auto &entry) { --entry.second->given; });
        const auto gives = [](const auto &entry) { return entry.second.given > 0; };
        const auto givers = std::size_t(std::ranges::count_if(endpoints, gives));
        const auto bore = std::max({slow.size(), givers, std::size_t{1}});
        perServer = double(done.size()) / double(bore);
        fleet = std::max(1.0, quantile(std::move(slow), 0.5));
    }
    double stageShare() const {
        const auto step = std::size_t(news.step);
        return step < v.stageShares.size() ? v.stageShares[step] : 1;
    }
    int step(BuildNumber b) const {
        return told && b == news.build && lastTold.build == b ? std::min(news.step, lastTold.step)
                                                              : 0;
    }

    // Exception where the platform's stages are shorter than those that the waits were tuned for:
    // they shrink alike, or no good build could be released before the next is due. Harm: less
    // evidence on each stage.
    Duration paced(Duration wait) const {
        if (v.minStageDuration <= Duration{0} || v.minStageDuration >= kStageTuned)
            return wait;
        return Duration{wait.count() * v.minStageDuration.count() / kStageTuned.count()};
    }
    // Answers of endpoints younger than this are no evidence; no longer than the settings call them
    // cold.
    Duration coldEvidence() const {
        return v.warmUpTime > Duration{0} ? std::min(kColdEvidence, v.warmUpTime + kWindowSpan)
                                          : kColdEvidence;
    }

    // ---- the rules: the one place that every send passes ----
    bool passes(const Request &request, Endpoint &s) {
        const Route &rt = route(request);
        // every request one timely answer
        if (request.answered || now >= request.in.deadline)
            return false;
        if (int(request.attempts.size()) >= v.maxAttempts)
            return false;
        if (!v.hedgingAllowed && request.outstanding())
            return false;
        // no effect twice
        if (!mayGoAgain(request))
            return false;
        const Attempt *ran = request.firstThatMayHaveRun();
        if (ran && rt.idempotency == Idempotency::withKey) {
            if (rt.deduplicationScope != DeduplicationScope::all && ran->zone != s.entry.zone)
                return false;
            if (rt.deduplicationScope == DeduplicationScope::cell && ran->cell != s.entry.cell)
                return false;
        }
        if (!s.listed())
            return false;  // drains
        // exposure
        const BuildNumber build = s.entry.build;
        if (bound(build)) {
            if (step(build) < v.idempotentOnlyStages && rt.idempotency != Idempotency::idempotent)
                return false;
            if (!withinCap(build, request.in.route))
                return false;
        }
        const auto stay = stays.find(request.in.key);
        if (build < allStay || (stay != stays.end() && build < stay->second))
            return false;
        // Nor while a newer build is asked: its answer may be written and not read. Guards against
        // answers that are late, or lost on a connection that fell silent. Harm: such requests wait
        // for the newer build's cap.
        for (auto at = asking.upper_bound({request.in.key, build}); at != asking.end(); ++at) {
            if (at->first.first != request.in.key)
                break;
            if (at->first.second != sentBack)
                return false;
        }
        return withinColdBudget(s);  // cold endpoints
    }

    std::deque<Duration> &attemptsAt(BuildNumber build, int route) {
        return trials.try_emplace(build, routesCounted()).first->second[counted(route)];
    }
    // Counts attempts over a tick more and accepted requests over a tick less than the span: it may
    // end anywhere.
    bool withinCap(BuildNumber build, int route) {
        const double share = exposureLimit(build);
        if (share <= 0)
            return false;
        const std::size_t c = counted(route);
        auto &attempts = attemptsAt(build, route);
        forget(attempts, now - v.exposureWindow - kTick);
        forget(taken[c], now - v.exposureWindow + kTick);
        return double(attempts.size()) + 1 <= v.exposureAllowance + share * double(taken[c].size());
    }

    // Guards a cold endpoint against all gateways together: over the stated span, as far as it has
    // run, each sends a part of the tip multiple x its warmth x what a warm endpoint has answered
    // of this gateway's requests (no burst raises that); the broken part of a request by a chance
    // drawn once a start. Harm: small stages.
    bool withinColdBudget(Endpoint &s) const {
        const Duration age = s.age(now);
        if (!cold(s))
            return true;
        forget(s.coldSends, now - v.overloadWindow);
        const double sent = double(s.coldSends.size());  // those of the span
        const double run =
            secs(std::clamp(age, Duration{0}, v.overloadWindow)) / secs(v.overloadWindow);
        return sent + 1 <=
               s.coldChance + v.overloadMultiple * kColdMargin * warmth(s) * run * perServer;
    }

    bool aside(const Endpoint &s) const { return now < s.asideUntil; }

    // Inside a build: the lower of two random endpoints by (in-flight + 1) x decaying latency /
    // weight.
    std::vector<Endpoint *> two(const Request &request, BuildNumber build, bool desperate) {
        std::vector<Endpoint *> chosen;
        const auto at = live.find(build);
        const std::size_t n = at == live.end() ? 0 : at->second.size();
        for (std::size_t i = 0; i < n && chosen.size() < 2; ++i) {
            std::swap(at->second[i], at->second[i + any(n - i)]);
            Endpoint &s = *at->second[i];
            const bool tried = std::ranges::count(request.attempts, &s, &Attempt::endpoint) > 0;
            // A price on crossing zones keeps most choices at home where load is asked for; score()
            // does the rest.
            const bool away = v.crossZoneCost > 0 && asksLoad() && s.entry.zone != v.zone;
            if (!desperate && away && chance() < kAtHome)
                continue;
            if ((desperate || (!aside(s) && !tried)) && passes(request, s))
                chosen.push_back(&s);
        }
        return chosen;
    }
    // Exception where endpoints tell their load to probes and gateways are many, so own in-flight
    // says nothing: the two are asked. Covers uneven gateways, crowded machines. Harm: price and
    // delay.
    bool asksLoad() const { return v.inFlightReportField >= 0 && many(); }
    bool ask(Request &request) {
        if (!asksLoad())
            return false;
        for (const BuildNumber build : place(request))
            if (request.asked.empty())
                request.asked = two(request, build, false);
        if (request.asked.size() < 2)
            return false;
        for (const Endpoint *s : request.asked)
            out.push_back(ProbeEndpoint{s->entry.id});
        request.waiting = request.asked.size();
        return true;
    }
    void on(const ProbeEnded &p) {
        const auto at = endpoints.find(p.endpoint);
        if (at == endpoints.end())
            return;
        if (asksLoad() && std::size_t(v.inFlightReportField) < p.load.size())
            at->second.inHand = p.load[std::size_t(v.inFlightReportField)],
            at->second.inHandAt = now;
        for (auto it = requests.begin(); it != requests.end();) {
            const auto here = it++;
            Request &request = here->second;
            if (request.waiting > 0 && std::ranges::count(request.asked, &at->second) > 0 &&
                --request.waiting == 0)
                go(here);
        }
    }
    double score(const Endpoint &s) const {
        const double far = s.entry.zone == v.zone ? 1 : 1 + 4 * v.crossZoneCost;
        const double weight = s.entry.weight > 0 ? s.entry.weight : 1;
        const double others = s.inHand * std::exp(-secs(now - s.inHandAt) / kLatencyFade);
        return (std::max(double(s.out.size()), others) + 1) * slowness(s) * far /
               (weight * warmth(s));
    }

    // Exception where keys stay with the trial build once it has answered: what fails on the
    // earlier one is not sent there beyond 0.7 of the cap. Guards against keys that failures bind,
    // until they ask for more than the cap and their requests are held. Harm: fewer pairs that
    // speak for the trial build.
    bool hasRoom(int route) const {
        const auto at = trials.find(news.build);
        if (at == trials.end())
            return true;
        const std::size_t c = counted(route);
        return double(at->second[c].size()) <
               kHashShare * exposureLimit(news.build) * double(taken[c].size());
    }

    // The builds in the order in which this request should try them.
    std::vector<BuildNumber> place(const Request &request) const {
        const BuildNumber base = baseBuild();
        const bool open = told && news.phase == RolloutPhase::canary && !bad;
        const BuildNumber rev = told ? news.build : 0;
        bool toTrial = false;
        if (open) {
            const std::string &key =
                request.in.key.empty() ? std::to_string(request.in.requestId) : request.in.key;
            toTrial = place01(key, std::uint64_t(rev)) < trialShare();
            // A failed request's next try goes to the other build.
            if (!request.attempts.empty())
                toTrial = onTrial(request.attempts.back().build)
                              ? false
                              : toTrial || !v.stickyKeys || hasRoom(request.in.route);
        }
        std::vector<BuildNumber> order;
        if (toTrial)
            order.push_back(rev);
        if (base)
            order.push_back(base);
        if (!toTrial && told && news.phase != RolloutPhase::rolledBack)
            order.push_back(rev);
        for (auto at = live.rbegin(); at != live.rend(); ++at)
            if (at->first < base)
                order.push_back(at->first);
        return order;
    }

    bool dispatch(Request &request) {  // true if a try went out
        const auto lower = [&](const std::vector<Endpoint *> &from) {
            Endpoint *best = nullptr;
            for (Endpoint *s : from)
                if (!best || score(*s) < score(*best))
                    best = s;
            if (best && request.attempts.empty() && tooLate(request))
                giveUp(request);
            else if (best)
                send(request, *best);
            return best != nullptr;
        };
        std::erase_if(request.asked,
                      [&](Endpoint *s) { return aside(*s) || !passes(request, *s); });
        if (lower(std::vector<Endpoint *>(std::move(request.asked))))
            return true;
        const auto order = place(request);
        for (const bool desperate : {false, true})
            for (const BuildNumber build : order)
                if (lower(two(request, build, desperate)))
                    return true;
        return false;
    }

    // Sheds while the requests under way could not be answered in time at the pace of the last
    // second's answers, more the slower; an tenant's excess first. Covers surges, lost machines,
    // slowdowns. Harm: a rough pace.
    bool tooLate(const Request &request) {
        const double expected =
            usualOf(request) * pressure() / secs(route(request).latencyObjective);
        // A pace of n answers is known to one part in the root of n: few answers must not shed by
        // chance.
        const double doubt = 1 + 2 / std::sqrt(std::max(1.0, double(ends.size())));
        const double from = doubt * (overShare(request.in.tenant) ? kShedFrom / 2 : kShedFrom);
        // Adaptive throttling where gateways are many: a few requests a second give no pace, but
        // show that under half of an tenant's end in time. Covers jams that feed themselves,
        // heedless repeats. Harm: other failures.
        forget(fates, now - kFateSpan, [&](const auto &entry) { countFate(entry.second, -1); });
        const auto [ended, good] = fateOf[request.in.tenant];
        const double jam = !many() ? 0 : (ended - kThrottle * good) / (ended + kFewUnderWay);
        const double part = std::max((expected - from) / kShedSpan, jam);
        if (part <= 0 || chance() >= part)
            return false;
        shedAt = now;
        return true;
    }
    // How many times the usual it takes to answer what is under way (Little's law); silent
    // endpoints left out.
    double pressure() {
        forget(ends, now - kPaceSpan);
        double under = 0, work = 0;
        for (const auto &[id, request] : requests)
            for (const Attempt &t : request.attempts)
                if (t.out && !aside(*t.endpoint))
                    ++under, work += usualOf(request);
        if (under < kFewUnderWay)
            return 1;
        const double pace = std::max(1.0, double(ends.size())) / secs(kPaceSpan);
        return under / pace / (work / under);
    }
    void countFate(const std::pair<int, bool> &fate, double n) {
        auto &[ended, good] = fateOf[fate.first];
        ended += n, good += fate.second ? n : 0;
    }
    void countRecent(int tenant, double n) {
        if (tenant >= 0 && std::size_t(tenant) < recentOf.size())
            recentOf[std::size_t(tenant)] += n;
    }
    bool overShare(int tenant) const {
        if (tenant < 0 || tenant >= int(v.tenantQuotas.size()) || recent.empty())
            return false;
        return recentOf[std::size_t(tenant)] >
               kOverShare * v.tenantQuotas[std::size_t(tenant)] * double(recent.size());
    }

    void send(Request &request, Endpoint &s) {
        if (!passes(request, s))
            return;
        request.attempts.push_back(
            {&s, s.entry.build, s.entry.zone, s.entry.cell, now, s.age(now) < coldEvidence()});
        s.out.insert({now, request.in.requestId});
        if (cold(s))
            s.coldSends.push_back(now);
        if (v.stickyKeys && !request.in.key.empty())
            ++asking[{request.in.key, s.entry.build}];
        if (bound(s.entry.build))
            attemptsAt(s.entry.build, request.in.route).push_back(now);
        out.push_back(SendAttempt{request.in.requestId, s.entry.id});
    }

    void callOff(const Request &request) {
        for (std::size_t k = 0; v.cancellationAllowed && k < request.attempts.size(); ++k)
            if (request.attempts[k].out)
                out.push_back(CancelAttempt{request.in.requestId, int(k)});
    }

    void finish(Request &request, bool inTime) {
        if (!request.answered && many()) {
            fates.push_back({now, {request.in.tenant, inTime}});
            countFate(fates.back().second, 1);
        }
        request.answered = true;
    }
    // The final answer of a request that is given up: shed where that is true, errored else.
    void giveUp(Request &request) {
        if (request.answered)
            return;
        finish(request, false);
        const Route &rt = route(request);
        const bool ran = request.firstThatMayHaveRun() != nullptr;
        const bool mayShed = rt.idempotency == Idempotency::idempotent || !ran ||
                             (rt.idempotency == Idempotency::withKey &&
                              rt.deduplicationScope == DeduplicationScope::all);
        callOff(request);
        const Duration back =
            v.retryAfterSupported ? std::min<Duration>(v.maxRetryAfter, 250ms) : Duration{0};
        if (mayShed)
            out.push_back(ShedRequest{request.in.requestId, back});
        else
            out.push_back(FailRequest{request.in.requestId});
    }
    void drop(auto it) {
        if (!it->second.outstanding())
            requests.erase(it);
    }

    template <class Other>
    void on(const Other &) {}  // notes, streams: not decided on yet; the start is done

    void follow() {
        out.push_back(WatchEndpoints{true});
        askAgainAt = now + std::max<Duration>(v.subscribeWithin / 2, kWindowSpan);
    }
    void on(const EndpointListFailed &) { askAgainAt = now + kWindowSpan / 2, following = false; }
    void on(const EndpointListUpdate &list) {
        const auto leaves = [&](Endpoint &s) {
            if (s.entry.state != EndpointState::removed)
                s.entry.state = EndpointState::removed, s.goneAt = now;
        };
        for (auto &[id, s] : endpoints)
            if (list.complete)
                leaves(s);
        // Who left long ago is forgotten, or addresses would add up; not before it would be warm
        // again, so that what it was sent while cold still counts if it returns.
        std::erase_if(endpoints, [&](const auto &one) {
            const Endpoint &s = one.second;
            const auto holds = [&](const auto &request) {
                return std::ranges::count(request.second.asked, &s) +
                           std::ranges::count(request.second.attempts, &s, &Attempt::endpoint) >
                       0;
            };
            return s.entry.state == EndpointState::removed && s.given == 0 &&
                   now - s.goneAt > v.warmUpTime + v.overloadWindow + kWindowSpan &&
                   std::ranges::none_of(requests, holds);
        });
        for (Arm *arm : {&trial, &earlier, &lastEarlier})
            std::erase_if(arm->endpoints,
                          [&](const auto &one) { return !endpoints.contains(one.first); });
        for (const auto &e : list.entries) {
            Endpoint &s = endpoints[e.id];
            if (s.entry.startedAt != e.startedAt || s.entry.build != e.build) {
                s.slowness = 1, s.unanswered = 0, s.asideUntil = s.asideFor = Duration{0};
                s.coldSends.clear();
                s.coldChance = chance();
            }
            if (!s.entry.id.empty() && s.entry.build != e.build)
                s.ranBefore = s.entry.build, s.changedAt = now;
            if (e.state == EndpointState::removed)
                leaves(s);
            s.entry = e;
        }
        following = true;
        live.clear();
        for (auto &[id, s] : endpoints)
            if (s.listed())
                live[s.entry.build].push_back(&s);
        countServers();
    }

    void on(const RequestArrived &in) {
        const auto it =
            requests.try_emplace(in.requestId, Request{in, now, {}, false, {}, 0}).first;
        taken[counted(in.route)].push_back(now);
        recent.push_back({now, in.tenant});
        countRecent(in.tenant, 1);
        retryBudget = std::min(kRetryBurst, retryBudget + kRetryRate);
        if (!ask(it->second))
            go(it);
    }
    void go(std::map<RequestId, Request>::iterator it) {
        it->second.waiting = 0;
        if (!dispatch(it->second))
            hold(it);
        else if (it->second.answered)
            drop(it);
    }

    // A request that can go nowhere waits while an answer in time can still be had, and no longer.
    void hold(std::map<RequestId, Request>::iterator it) {
        Request &request = it->second;
        const Duration latest =
            std::min(request.arrived + route(request).latencyObjective - span(usualOf(request)),
                     request.in.deadline - 2 * kTick);
        if (now < latest && int(request.attempts.size()) < v.maxAttempts && mayGoAgain(request))
            return;
        giveUp(request);
        drop(it);
    }
    bool mayGoAgain(const Request &request) const {
        const Attempt *ran = request.firstThatMayHaveRun();
        const Route &rt = route(request);
        if (!ran || rt.idempotency == Idempotency::idempotent)
            return true;
        const Duration latest = ran->sent + rt.deduplicationWindow - v.maxSendDelay - 2 * kTick;
        return rt.idempotency == Idempotency::withKey && now <= latest;
    }

    void on(const RequestAbandoned &gone) {
        const auto it = requests.find(gone.requestId);
        if (it != requests.end())
            finish(it->second, false), callOff(it->second), drop(it);
    }

    void on(const AttemptEnded &end) {
        const auto it = requests.find(end.requestId);
        if (it == requests.end() || std::size_t(end.attemptNumber) >= it->second.attempts.size())
            return;
        Request &request = it->second;
        Attempt &t = request.attempts[std::size_t(end.attemptNumber)];
        if (!t.out)
            return;  // told before: it must not count twice, nor prove the contrary
        t.out = false, t.outcome = end.outcome;
        t.endpoint->out.erase({t.sent, end.requestId});
        const auto asked = asking.find({request.in.key, t.build});
        if (asked != asking.end() && --asked->second == 0)
            asking.erase(asked);
        if (end.outcome == Outcome::ok)
            ends.push_back(now);
        settle(request, t, end);
        if (end.requestEnded || end.outcome == Outcome::ok) {
            if (!request.answered)
                callOff(request);
            finish(request, end.outcome == Outcome::ok &&
                                now <= request.arrived + route(request).latencyObjective);
        }
        if (request.answered)
            return drop(it);
        if (request.outstanding())
            return;
        const bool late =
            now + span(0.5 * usualOf(request)) >= request.arrived + route(request).latencyObjective;
        if (!late && mayGoAgain(request) && retryBudget >= 1) {
            retryBudget -= 1;
            if (dispatch(request))
                return;
            return hold(it);
        }
        giveUp(request);
        drop(it);
    }

    // A endpoint is silent on a try when nothing has come from it since, for several times the
    // usual latency.
    bool silent(const Endpoint &s, const Attempt &t) const { return s.answeredAt < t.sent; }
    void unanswered(Endpoint &s) {
        if (++s.unanswered < kEjectAfter || aside(s))
            return;
        double gone = 1, all = 0;
        if (const auto at = live.find(s.entry.build); at != live.end())
            for (const Endpoint *other : at->second)
                ++all, gone += aside(*other);
        if (gone > std::max(1.0, kMostAside * all))
            return;
        s.asideFor = std::clamp(s.asideFor * 2, kEjectFirst, kEjectMost);
        s.asideUntil = now + s.asideFor;
    }

    // Reads how a try ended: the endpoint's health and latency, the usual times, the evidence on
    // the builds.
    void settle(Request &request, const Attempt &t, const AttemptEnded &end) {
        Endpoint &s = *t.endpoint;
        const auto r = std::size_t(request.in.route);
        const double took = secs(now - t.sent);
        const bool answered = end.outcome == Outcome::ok || end.outcome == Outcome::malformed;
        // What ended unread may have been answered well all the same: its key stays as well. An
        // error is an answer, and no good one. Guards against a key that goes back to an earlier
        // build. Harm: keys bound to a bad build.
        if (v.stickyKeys && !provesNotRun(end.outcome) && end.outcome != Outcome::error &&
            !request.in.key.empty() && t.build > allStay)
            stays[request.in.key] = std::max(stays[request.in.key], t.build);
        if (end.outcome == Outcome::ok) {
            const double ratio = took / usual[r];
            const double keep = std::exp(-secs(now - s.slownessAt) / kLatencyFade);
            s.slowness = (1 - kLatencyGain) * (1 + (s.slowness - 1) * keep) + kLatencyGain * ratio;
            s.slownessAt = now;
            s.unanswered = 0, s.asideFor = Duration{0};
            if (!onTrial(t.build) && !t.cold && fullLoad()) {
                const double gain = std::max(0.01, 1.0 / (1 + usualSeen[r]++));
                usual[r] += gain * (took - usual[r]);
            }
            if (!t.cold)
                done.push_back({now, &s}), ++s.given;
        } else if (end.outcome == Outcome::error || end.outcome == Outcome::overloaded || answered)
            s.unanswered = 0;
        else if (end.outcome == Outcome::reset || end.outcome == Outcome::connectFailed ||
                 silent(s, t))
            unanswered(s);
        if (answered || end.outcome == Outcome::error || end.outcome == Outcome::overloaded)
            s.answeredAt = now;
        evidence(request, t, end, took / usual[r]);
    }

    void evidence(const Request &request, const Attempt &t, const AttemptEnded &end, double ratio) {
        // What can't be read is a connection's trouble, of either build alike.
        if (!told || provesNotRun(end.outcome) || end.outcome == Outcome::malformed)
            return;
        if (news.phase != RolloutPhase::canary && news.phase != RolloutPhase::released)
            return;
        // Of one that went back before this one came: neither the trial nor what it is held
        // against. Guards against its late failures hiding the next one's. Harm: none seen.
        if (t.build < news.build && t.build == sentBack)
            return;
        const bool isTrial = t.build == news.build;
        const bool failed = isFailure(end.outcome);
        // A endpoint that answers nothing is a machine's trouble: its silence tells nothing of the
        // build.
        if (failed && end.outcome != Outcome::error && t.endpoint->unanswered >= kEjectAfter)
            return;
        Arm &arm = isTrial ? trial : earlier;
        // A try cut short took at least so long; or a slow build's slowest answers would not count.
        const bool cutShort = end.outcome == Outcome::cancelled || end.outcome == Outcome::timeout;
        const bool counts =
            t.build <= news.build && !t.cold && t.endpoint->unanswered < kEjectAfter;
        if (cutShort && counts && ratio > 1 && v.votesToRollBack >= kPooledVotes)
            arm.slowness.push_back({now, ratio});
        if (end.outcome == Outcome::cancelled)
            return;
        if (end.outcome == Outcome::ok && request.attempts.size() > 1) {
            const Attempt &before = request.attempts[request.attempts.size() - 2];
            if (before.build != t.build && !before.out && before.outcome == Outcome::error) {
                if (before.build == news.build)
                    ++pairsTrial, met.push_back({now, 1});
                else if (isTrial)
                    ++pairsEarlier;
            }
        }
        // One of many has no window to tell by that the earlier build loses as well. Harm: where
        // both are bad.
        const bool allLose = many() && earlier.losesMany();
        if (isTrial && failed && (!t.cold || end.outcome == Outcome::error) && !allLose)
            lastTrialFailure = now;
        ownErrors += isTrial && end.outcome == Outcome::error;
        if (isTrial)
            met.push_back({now, 0}), ++canaryAttempts;
        if (t.cold || t.build > news.build || (eased && t.sent < easedAt + kWindowSpan))
            return;
        arm.add(request.in.route, t.endpoint->entry.id, failed, end.outcome == Outcome::error,
                ratio);
        if (end.outcome == Outcome::ok) {
            arm.slowness.push_back({now, ratio});
            while (arm.slowness.front().first < now - kSlowSpan)
                arm.slowness.pop_front();
            // A build that was released a while ago is the next one's earlier build.
            const bool current = isTrial ? !onTrial(t.build) && now - newsBegan > kSlowSpan : true;
            if (current)
                pulse.push_back({now, ratio});
            // Kept from before the trial if there were enough: the trial build may slow the others
            // early.
            if (current && fullLoad() &&
                (!onTrial(news.build) || reference.size() < kReference / 2)) {
                reference.push_back(ratio);
                if (reference.size() > kReference)
                    reference.erase(reference.begin());
            }
        }
    }

    void on(const IncorrectResponseReported &w) {
        const auto at = endpoints.find(w.endpoint);
        if (at == endpoints.end() || !told)
            return;
        // The id may have come to run another build since that try was sent.
        const Endpoint &s = at->second;
        if ((now - w.age < s.changedAt ? s.ranBefore : s.entry.build) == news.build)
            ++wrong, met.push_back({now, 1 / std::max(0.01, v.incorrectReportRate)});
    }
    void on(const UsageReport &c) {
        if (!told || c.age > now - newsBegan || c.build > news.build)
            return;
        Arm &arm = c.build == news.build ? tallyTrial : tallyEarlier;
        auto &cell = arm.routes[c.route];
        cell.n += c.attempts, cell.fails += c.failures;
    }

    // Exception where the platform counts attempts, the same for all: they are windows where own
    // outcomes are few. They hold refusals, dead machines and requests that have failed on the
    // earlier build, so an error of the trial must have been met here, and the earlier must lose
    // few. Covers bad builds at small gateways. Harm: bad ones in a jam.
    void judgeTally() {
        if (!enough(tallyTrial) || !enough(tallyEarlier))
            return;
        tallySick =
            !tallyEarlier.losesMany() && tooMany(tallyTrial, tallyEarlier) ? tallySick + 1 : 0;
        if (ownErrors > 0 && tallySick >= kUnhealthyStreak)
            return convict("counts");
        tallyTrial = tallyEarlier = Arm{};
    }
    static bool enough(const Arm &arm) { return arm.count() >= kWindowLeast; }
    static bool tooMany(const Arm &ours, const Arm &theirs, bool errorsOnly = false) {
        double lost = 0, other = 0;
        for (const auto &[r, c] : ours.routes) {
            lost += errorsOnly ? c.errors : c.fails;
            if (const auto t = theirs.routes.find(r); t != theirs.routes.end() && t->second.n > 0)
                other += c.n * t->second.fails / t->second.n;
        }
        return lost > other + kFailMargin * ours.count() && lost > kFailRatio * other;
    }
    static std::pair<int, int>
    order(const RolloutUpdate &n) {  // a build passes through these one way
        const int phase = n.phase == RolloutPhase::canary     ? 0
                          : n.phase == RolloutPhase::released ? 1
                                                              : 2;
        return {n.phase == RolloutPhase::rolledBack ? 3 : phase, n.step};
    }
    void on(const RolloutUpdate &n) {
        if (n.isVoteReply) {
            votePending = false;
            if (n.outcome == Outcome::ok)
                standing = lastVote, voteDue = now + v.voteLifetime * 6 / 10;
            else
                voteDue = now + (n.outcome == Outcome::obsolete ? kMootRetry : kVoteRetry);
        }
        if (n.outcome != Outcome::ok)
            return;
        lastTold = n;
        if (told && n.build < news.build)
            return;
        const bool fresh = !told || n.build != news.build;
        const bool changed = fresh || n.step != news.step || n.phase != news.phase;
        if (!told)
            firstTold = now;
        told = true;
        // News that a later one has overtaken, as the answer to a vote does: the stage passed does
        // not come back with its cap and its streaks. Harm: a number offered again is taken for
        // news for some seconds.
        if (!fresh && order(n) < order(news) && now < newsBegan + kOvertaken)
            return;
        news = n;
        if (!changed)
            return;
        newsBegan = now - n.age;
        countServers();
        if (fresh) {
            bad = eased = false, wrong = pairsTrial = pairsEarlier = canaryAttempts = ownErrors = 0;
            lastEarlier = Arm{}, met.clear(), pooledUntil = Duration{0};
        }
        if (n.phase == RolloutPhase::rollingBack || n.phase == RolloutPhase::rolledBack) {
            sentBack = n.build;
            std::erase_if(stays, [&](const auto &stay) { return stay.second >= n.build; });
            if (allStay >= n.build)
                allStay = 0;
        }
        suspicion = Suspicion::none, slowSince = clearUntil = Duration{0};
        closeWindow();
        for (Arm *arm : {&trial, &earlier}) {  // the latest latencies stay, but for a new build
            auto kept = fresh ? decltype(arm->slowness){} : std::move(arm->slowness);
            *arm = Arm{}, arm->slowness = std::move(kept);
        }
        healthy = unhealthy = tallySick = 0;
        tallyTrial = tallyEarlier = Arm{}, lastTrialFailure = Duration{0};
        wanted = bad ? Verdict::rollBack : Verdict::none;
        standing = Verdict::none, voteDue = now, votePending = false;
    }

    bool fullLoad() const {  // whether the earlier build bears about all that the fleet gets
        if (!told || news.phase != RolloutPhase::canary)
            return true;
        return suspicion == Suspicion::none && slowSince == Duration{0} && trialShare() < 0.25;
    }

    // Exception for a build that slows the earlier one too, in step with its traffic: when the
    // earlier build's median has left its full-load figure, first sends to the trial stop; if that
    // helps they resume, and if the slowness then returns the build is blamed, else cleared. Covers
    // shared stores, caches, locks; a shared slowdown or burst is not cured by a pause. Harm: a
    // good build waits if one ends then.
    void suspect() {
        if (pulse.size() < kPulseLeast || reference.size() < kPulseLeast)
            return;
        const double slow =
            quantile(valuesSince(pulse, Duration{0}), 0.5) / quantile(reference, 0.5);
        // Machines replaced in place are missed until their successors are warm: that alone slows
        // the rest.
        const bool warming = v.inPlaceReplacement && count.anyCold;
        if (slow <= kFleetSlow + kPulseDoubt / std::sqrt(double(pulse.size())))
            slowSince = Duration{0};
        else if (slowSince == Duration{0})
            slowSince = now;
        const bool lasting = slowSince != Duration{0} && now - slowSince >= kSlowFor && !warming;
        const auto turn = [&](Suspicion to, const char *words) {
            suspicion = to, suspectedAt = now, slowSince = Duration{0};
            log(words);
        };
        if (suspicion == Suspicion::none && lasting && now >= clearUntil && trialShare() > 0) {
            slowAtPause = slow;
            turn(Suspicion::paused, "pause: both builds slow");
        } else if (suspicion == Suspicion::paused) {
            const bool helped =
                slow - 1 < kHelped * (slowAtPause - 1) && now - suspectedAt >= kPulseSpan;
            if (helped)
                turn(Suspicion::resumed, "resume: the pause has helped");
            else if (now - suspectedAt > kPauseMost)
                clearUntil = now + kClearFor,
                turn(Suspicion::none, "resume: the pause has not helped");
        } else if (suspicion == Suspicion::resumed) {
            if (lasting && slow - 1 > kHelped * (slowAtPause - 1))
                convict("slows both builds");
            else if (now - suspectedAt > kResumeMost)
                turn(Suspicion::none, "cleared: not slow again");
        }
    }

    // Exception: time-outs and resets alone are no build's failures unless it is slow on most of
    // its machines: guards against dying, silent or crowded ones. Harm: a build that drops requests
    // without a word.
    bool slowOnMost(const Arm &base) const {
        return trial.common(false) > kOneServer * base.common(false);
    }

    // The design's p95 comparison. Exception: at late stages the trial's machines bear more and
    // queue more, so it must also be slower than the earlier build under full load, and slow on
    // most of its machines. Guards against load, a neighbour or a pause taken for the build. Harm:
    // a fleet slow before.
    std::optional<bool> slower(const Arm &base) {
        if (int(trial.slowness.size()) < kSlowLeast)
            return std::nullopt;
        // Of the same time: what slowed both a while ago must not stay in the older, fewer answers.
        // At a late stage the earlier build has few of them: it is reached back for as many, within
        // kSlowSpan.
        Duration since = (trial.slowness.end() - kSlowLeast)->first;
        if (&base != &lastEarlier && int(base.slowness.size()) >= kSlowLeast)
            since = std::max(now - kSlowSpan,
                             std::min(since, (base.slowness.end() - kSlowLeast)->first));
        const auto ours = valuesSince(trial.slowness, since);
        const auto theirs = valuesSince(base.slowness, &base == &lastEarlier ? Duration{0} : since);
        trial.slowness.clear();  // the next window of a streak is judged on answers of its own
        const double p95 = quantile(ours, 0.95);
        const double unit = *std::min_element(usual.begin(), usual.end());
        for (const auto &from : {theirs, reference}) {
            if (int(from.size()) < kSlowLeast)
                return std::nullopt;
            const double other = quantile(from, 0.95);
            if (p95 <= kSlowRatio * other || (p95 - other) * unit <= secs(kSlowMargin))
                return false;
        }
        return slowOnMost(base);
    }

    // When the clock of the stage has started, as far as the list tells; empty while machines are
    // missing.
    std::optional<Duration> clockStart() const {
        if (count.fresh + 0.5 >= stageShare() * count.places)
            return std::max(newsBegan, count.lastStart) + paced(kClockLag);
        if (now - newsBegan > kMachinesLate)
            return newsBegan + kMachinesLate;
        return std::nullopt;
    }

    // Whether so many bad ones of the trial's attempts are over twice what the earlier build loses
    // as well, of its window and the last. Guards against 'back' on a first few failures that both
    // share. Harm: some seconds of a bad build in a rough time.
    bool apart(double evil, double attempts, double Arm::Cell::*what) const {
        const double n = earlier.count() + lastEarlier.count();
        const double shared = (earlier.sum(what) + lastEarlier.sum(what)) / std::max(1.0, n);
        return evil > kFailRatio * shared * (attempts + kPooledLeast);
    }

    // Exception where many votes are needed to go back: one gateway of hundreds has no window in
    // time, so its vote may rest on the last vote life's few answers and lapses with them; the
    // votes are the least count. Covers errors, wrong answers, slowness. Harm: where votes needed
    // are many but of few of the gateways.
    bool pooledDoubts() {
        double attempts = 0, evil = 0;
        for (const auto &[at, weight] : met)
            attempts += weight == 0, evil += weight;
        if (evil >= std::max(0.01, kPooledFails * attempts) &&
            apart(evil, attempts, &Arm::Cell::fails))
            return true;
        const auto ours = valuesSince(trial.slowness, now - kSlowSpan);
        const auto theirs = valuesSince(earlier.slowness, now - kSlowSpan);
        const double errors = std::min(slowerBy(ours, theirs), slowerBy(ours, reference));
        if (errors > kPooledHold)
            lastTrialFailure = now;  // a stretch with slow answers is not quiet
        return errors > kPooledBack;
    }

    void convict(const std::string &grounds) {
        if (bad)
            return;
        bad = true;
        want(Verdict::rollBack, grounds);
    }
    void want(Verdict verdict, const std::string &grounds) {
        if (verdict != wanted)
            wanted = verdict, why = grounds, voteDue = now;
    }

    void judge() {
        if (now < countDue)
            return;
        countServers();
        if (!told || bad ||
            (news.phase != RolloutPhase::canary && news.phase != RolloutPhase::released))
            return;
        if (wrong >= kWrongBack)
            return convict("wrong answers");
        // Where two or three votes are needed each rests on a pair less; the pooled ones lapse and
        // so need one.
        const int pairs =
            v.votesToRollBack > 1 && v.votesToRollBack < kPooledVotes ? kPairsBack - 1 : kPairsBack;
        if (pairsTrial >= pairs && pairsTrial > 2 * pairsEarlier + 1 &&
            apart(pairsTrial, canaryAttempts, &Arm::Cell::errors))
            return convict("pairs");
        judgeTally();
        if (bad)
            return;
        if (v.votesToRollBack >= kPooledVotes && pooledDoubts())
            pooledUntil = now + v.voteLifetime;
        if (now < pooledUntil)
            return want(Verdict::rollBack, "pooled doubts");
        if (wanted == Verdict::rollBack)
            want(Verdict::none, "doubts gone");
        const Arm &base = enough(earlier) ? earlier : lastEarlier;
        if (now - windowBegan >= kWindowSpan && enough(trial) && enough(base)) {
            const bool errors = tooMany(trial, base, true);
            const auto late = slower(base);  // empty: too few latencies to tell
            const bool lost =
                tooMany(trial, base) && slowOnMost(base) && trial.common(true) > kFailMargin;
            const bool slow = late.value_or(false) || lost;
            if (slow && !errors && !eased)
                return ease();
            const bool sick = errors || slow;
            if (sick)
                healthy = 0, ++unhealthy,
                reason = errors ? "failures"
                         : lost ? "time-outs"
                                : "slow";
            else
                ++healthy;
            if (!sick && (late || reason == "failures"))
                unhealthy = 0;  // late empty: a slow streak stands
            if (unhealthy >= kUnhealthyStreak)
                return convict(reason);
            if (sick && wanted == Verdict::promote)
                want(Verdict::none, reason);
            closeWindow();
        }
        if (news.phase != RolloutPhase::canary)
            return;
        suspect();
        if (bad)
            return;
        if (v.promotionRule == PromotionRule::timer)
            return want(unhealthy > 0 ? Verdict::hold
                        : healthy > 0 ? Verdict::none
                                      : wanted,
                        reason);
        const auto clock = clockStart();
        if (wanted == Verdict::promote || !clock || now < *clock + paced(kPatience) ||
            unhealthy > 0)
            return;
        if (suspicion != Suspicion::none || (slowSince != Duration{0} && now >= clearUntil))
            return;
        // Quiet is what this gateway has listened to. Guards against an 'on' of one that has
        // started since, or has seen no answer of the trial in a rough time. Harm: a restart delays
        // its vote.
        const bool rough = earlier.losesMany() || shedOfLate();
        const bool quiet =
            now - std::max({newsBegan, firstTold, lastTrialFailure}) >= paced(kQuiet) &&
            tallySick == 0 && !(rough && met.empty());
        if (healthy >= kHealthyStreak)
            want(Verdict::promote, "healthy");
        else if (quiet)
            want(Verdict::promote, "quiet");
    }

    // Exception before slowness or time-outs are blamed on the build: an even share a machine
    // first, what was sent before left out. Guards against crowded trial machines. Harm: a second
    // or two of a slow build.
    void ease() {
        eased = true, easedAt = now;
        log("eased: trial slow, even share first");
        trial = earlier = Arm{};
        windowBegan = now + kWindowSpan;
    }

    // A closed window's counts are dropped; the latencies stay, so that the p95 has its least
    // count.
    void closeWindow() {
        if (enough(earlier))
            lastEarlier = earlier;
        for (Arm *arm : {&trial, &earlier}) {
            arm->routes.clear();
            for (auto &[id, c] : arm->endpoints)
                c.n /= 2, c.fails /= 2, c.errors /= 2, c.slow /= 2;
        }
        windowBegan = now;
    }

    void vote() {
        if (!told || now < voteDue || (votePending && now < voteSent + v.voteTimeout + kVoteRetry))
            return;
        if (news.phase != RolloutPhase::canary &&
            (news.phase != RolloutPhase::released || wanted != Verdict::rollBack))
            return;
        if (wanted == Verdict::none && standing == Verdict::none)
            return;
        out.push_back(Vote{news.build, news.step, wanted});
        if (wanted == Verdict::rollBack && (lastVote != wanted || standing != wanted))
            log("vote back: " + why);
        lastVote = wanted, votePending = true, voteSent = now;
        voteDue = now + v.voteLifetime * 6 / 10;
    }

    void on(const TimerFired &) {
        timer();
        forget(recent, now - v.overloadWindow,
               [&](const auto &entry) { countRecent(entry.second, -1); });
        if (v.subscriptionRequired && !following && now >= askAgainAt)
            follow();
        for (auto it = requests.begin(); it != requests.end();) {
            const auto here = it++;
            Request &request = here->second;
            if (request.answered)
                continue;
            if (request.outstanding())
                watch(request);
            else if (request.waiting == 0 || now >= request.arrived + kTick)
                go(here);
        }
    }

    // A try on a endpoint silent since for several times the usual is copied or called off, so that
    // the request can go elsewhere. Covers hung and dying machines, cut links. Harm: a long
    // request's work is thrown away.
    void watch(Request &request) {
        const int last = int(request.attempts.size()) - 1;
        Attempt &t = request.attempts.back();
        const Duration most = span(kSilent * fleet * usualOf(request));
        if (!t.out || t.calledOff || !silent(*t.endpoint, t) || now - t.sent < most)
            return;
        if (last + 1 >= v.maxAttempts || !mayGoAgain(request) || retryBudget < 1)
            return;
        if (now + span(usualOf(request)) >= request.arrived + route(request).latencyObjective)
            return;
        t.calledOff = true;
        if (v.hedgingAllowed) {
            unanswered(*t.endpoint);
            if (dispatch(request))
                retryBudget -= 1;
        } else if (v.cancellationAllowed)
            out.push_back(CancelAttempt{request.in.requestId, last});
    }
};

Policy::Policy() = default;
Policy::~Policy() = default;

std::vector<Action> Policy::decide(GatewayId who, Duration now,
                                   const std::vector<Event> &happened) {
    std::vector<Action> out;
    for (const auto &event : happened) {
        if (std::holds_alternative<PolicyStopped>(event))
            records.erase(who);
        if (const auto *start = std::get_if<PolicyStarted>(&event))
            records[who] = std::make_unique<Record>(start->settings, now);
        const auto found = records.find(who);
        if (found == records.end())
            continue;
        found->second->now = now;
        std::visit([&](const auto &e) { found->second->on(e); }, event);
    }
    const auto found = records.find(who);
    if (found != records.end()) {
        found->second->judge();
        found->second->vote();
        out.swap(found->second->out);
    }
    return out;
}

}  // namespace deckcart
