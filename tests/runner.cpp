// Plays one scenario file against the module: a line says what happens or what must (not) have been done.
// The notation is described in tests/README.md.
#undef NDEBUG
#include <cassert>
#include <cmath>
#include <deckcart/policy.hpp>
#include <fstream>
#include <functional>
#include <iostream>
#include <set>
#include <sstream>

using namespace deckcart;

namespace {

Span span(double s) { return Span{std::llround(s * 1e6)}; }

struct Line {
    std::vector<std::string> words;
    std::map<std::string, std::string> named;

    explicit Line(const std::string &text) {
        std::istringstream in(text.substr(0, text.find('#')));
        for (std::string w; in >> w;)
            if (const auto eq = w.find('='); eq != std::string::npos)
                named[w.substr(0, eq)] = w.substr(eq + 1);
            else words.push_back(w);
    }
    double number(const std::string &name, double otherwise) const {
        const auto it = named.find(name);
        return it == named.end() ? otherwise : std::stod(it->second);
    }
    std::string text(const std::string &name, const std::string &otherwise = "") const {
        const auto it = named.find(name);
        return it == named.end() ? otherwise : it->second;
    }
};

struct Answer {
    Outcome how = Outcome::ok;
    double after = 0.05;
    double failShare = 0;  // of the tries fail instead, evenly spread
    bool silent = false;
    double load = 0;
    int route = -1;  // failures on this route only; -1: any
    int seen = 0;
};

const std::map<std::string, Outcome> kOutcomes{{"ok", Outcome::ok},       {"error", Outcome::error},
                                               {"full", Outcome::full},   {"timeout", Outcome::timeout},
                                               {"reset", Outcome::reset}, {"refuse", Outcome::connectFailed}};
const std::map<std::string, Phase> kPhases{{"trial", Phase::onTrial},
                                           {"back", Phase::goingBack},
                                           {"released", Phase::released},
                                           {"gone", Phase::withdrawn}};

struct World {
    Policy policy;
    Span now = span(100);
    StartValues start;
    std::map<ServerId, ServerEntry> servers;
    std::map<ServerId, Answer> answers;
    std::multimap<Span, std::function<void()>> due;
    std::vector<std::pair<Span, std::string>> seen;
    std::map<ReqId, int> tries, routeOf, finals, open;
    std::map<std::pair<ReqId, int>, ServerId> sentTo;
    std::set<std::pair<ReqId, int>> over;  // tries that have ended
    ReqId nextReq = 1000;

    World() {
        start.seed = 7, start.gateways = 3, start.mostTries = 4, start.mayCancel = true;
        start.routes = {{span(0.8), Effect::retriable, Group::all, span(5)},
                        {span(1.2), Effect::deduped, Group::all, span(5)},
                        {span(1.2), Effect::nonRetriable, Group::all, span(5)}};
        start.retryAfterTold = true, start.longestRetryAfter = span(1);
        start.coldFrom = 0.4, start.warmWithin = span(4), start.tipMultiple = 2;
        start.overloadFor = span(3), start.gate = Gate::byCount, start.spareTries = 2,
        start.exposureSpan = span(4);
        start.exposureCaps = {0.2, 0.5, 1}, start.stageShares = {0.1, 0.5, 1}, start.voteLife = span(6);
        start.voteAnswerWithin = span(0.8);
    }

    void give(const Event &event) {
        for (const auto &action : policy.decide(1, now, {event})) take(action);
    }
    void note(const std::string &text) { seen.push_back({now, text}); }

    void take(const Action &action) {
        if (const auto *a = std::get_if<SendTry>(&action)) {
            assert(!finals[a->req] && "a try after the final answer");
            const int tryNo = tries[a->req]++;
            ++open[a->req], sentTo[{a->req, tryNo}] = a->server;
            note("send req=" + std::to_string(a->req) + " server=" + a->server +
                 " build=" + std::to_string(servers.at(a->server).build) + " try=" + std::to_string(tryNo));
            Answer &answer = answers[a->server];
            if (answer.silent) return;
            Outcome how = answer.how;
            const bool hit = answer.route < 0 || answer.route == routeOf[a->req];
            const int n = ++answer.seen;
            if (hit && std::floor(n * answer.failShare) > std::floor((n - 1) * answer.failShare))
                how = Outcome::error;
            end(*a, tryNo, how, span(answer.after * (0.7 + 0.06 * (n * 7 % 10))));
        } else if (const auto *c = std::get_if<CancelTry>(&action)) {
            note("cancel req=" + std::to_string(c->req));
            SendTry t{c->req, sentTo.at({c->req, c->tryNo}), {}};
            if (!over.count({c->req, c->tryNo})) end(t, c->tryNo, Outcome::cancelled, span(0.01));
        } else if (const auto *s = std::get_if<Shed>(&action)) final(s->req, "shed");
        else if (const auto *e = std::get_if<EndErrored>(&action)) final(e->req, "errored");
        else if (const auto *t = std::get_if<SetTimer>(&action)) {
            const auto token = t->token;
            due.emplace(now + t->after, [this, token] { give(TimerFired{token}); });
        } else if (const auto *v = std::get_if<Vote>(&action)) {
            static constexpr const char *words[] = {"none", "on", "hold", "back"};
            note(std::string("vote ") + words[static_cast<int>(v->verdict)] +
                 " build=" + std::to_string(v->build) + " step=" + std::to_string(v->step));
        } else if (std::get_if<FollowList>(&action)) note("follow");
        else if (const auto *p = std::get_if<Probe>(&action)) {
            note("probe server=" + p->server);
            const ProbeEnded ended{p->server, Outcome::ok, span(0.001), {answers[p->server].load}};
            due.emplace(now + ended.took, [this, ended] { give(ended); });
        } else if (const auto *words = std::get_if<LogLine>(&action)) note("log " + words->words);
    }
    void final(ReqId req, const std::string &word) {
        assert(++finals[req] == 1 && "a second final answer");
        note(word + " req=" + std::to_string(req));
    }
    void end(const SendTry &t, int tryNo, Outcome how, Span after) {
        due.emplace(now + after, [=, this] {
            if (!over.insert({t.req, tryNo}).second) return;  // cancelled before it answered
            --open[t.req];
            const bool first = how == Outcome::ok && !finals[t.req];
            if (first) final(t.req, "completed");
            give(TryEnded{t.req, tryNo, finals[t.req] > 0, how, t.server, after, {}});
        });
    }
    void pass(Span until) {
        while (!due.empty() && due.begin()->first <= until) {
            const auto [at, what] = *due.begin();
            due.erase(due.begin());
            now = at;
            what();
        }
        now = until;
    }
    void arrive(ReqId id, const Line &l) {
        routeOf[id] = static_cast<int>(l.number("route", 0));
        finals[id] = 0;
        const Span until = now + span(l.number("until", 3));
        give(ReqArrived{id, l.text("key"), routeOf[id], 0, false, {}, until});
        due.emplace(until + span(0.02), [this, id] {
            if (!finals[id] && open[id] > 0) final(id, "expired"), give(ReqGone{id});
            assert(finals[id] == 1 && "no answer before the route timeout");
        });
    }
    std::size_t count(const Line &l) const {
        std::size_t n = 0;
        for (const auto &[at, text] : seen) {
            const Line s(text);
            bool fits = s.words.size() + 1 >= l.words.size();
            for (std::size_t k = 1; fits && k < l.words.size(); ++k) fits = s.words[k - 1] == l.words[k];
            for (const auto &[name, value] : l.named)
                if (name != "least" && name != "most") fits = fits && s.text(name) == value;
            n += fits;
        }
        return n;
    }

    void play(const Line &l) {
        const std::string &verb = l.words.front();
        if (verb == "start") {
            start.mayCopy = l.number("copies", 0) > 0, start.keysStay = l.number("keysStay", 0) > 0;
            start.guardedStages = static_cast<int>(l.number("guarded", 0));
            start.replacedInPlace = l.number("inPlace", 0) > 0;
            start.listMustBeAsked = l.number("ask", 0) > 0, start.askWithin = span(10);
            start.routes[1].repeatWindow = span(l.number("window", 5));
            start.spareTries = l.number("spare", 2);
            start.crossZoneFee = l.number("fee", 0);
            start.inHandField = l.number("probes", 0) > 0 ? 0 : -1;
            start.gateways = start.inHandField < 0 ? 3 : 99;
            start.votesToGoBack = static_cast<int>(l.number("back", 1)), start.wrongReported = 0.5;
            if (l.text("gate") == "clock") start.gate = Gate::clock;
            give(Started{start});
        } else if (verb == "server") {
            ServerEntry &e = servers[l.words.at(1)];
            e.id = l.words.at(1), e.build = static_cast<int>(l.number("build", 1));
            e.zone = static_cast<int>(l.number("zone", 0));
            const auto state = l.text("state", "live");
            e.readiness = state == "live"   ? Readiness::live
                          : state == "gone" ? Readiness::gone
                                            : Readiness::draining;
            if (l.named.count("age")) e.startedAt = now - span(l.number("age", 0));
        } else if (verb == "list") {
            ListTold told{true, {}};
            for (const auto &[id, e] : servers) told.entries.push_back(e);
            give(told);
        } else if (verb == "lost") give(ListFailed{});
        else if (verb == "answers") {
            Answer &a = answers[l.words.at(1)];
            a = Answer{};
            if (l.words.at(2) == "silent") a.silent = true;
            else a.how = kOutcomes.at(l.words.at(2));
            a.after = l.number("after", 0.05), a.failShare = l.number("fails", 0);
            a.load = l.number("load", 0);
            a.route = static_cast<int>(l.number("onRoute", -1));
        } else if (verb == "news" || verb == "voted")
            give(StageNews{verb == "voted", kOutcomes.at(l.text("how", "ok")),
                           static_cast<int>(l.number("build", 2)), static_cast<int>(l.number("step", 0)),
                           kPhases.at(l.text("phase", "trial")), l.number("cap", 0.2),
                           span(l.number("since", 0))});
        else if (verb == "req") arrive(std::stoull(l.words.at(1)), l);
        else if (verb == "reqs") {
            const Span until = now + span(l.number("for", 1)), gap = span(1 / l.number("rate", 50));
            const int keys = static_cast<int>(l.number("keys", 0));
            while (now < until) {
                Line one = l;
                if (keys > 0) one.named["key"] = "k" + std::to_string(nextReq % keys);
                arrive(nextReq++, one);
                pass(now + gap);
            }
        } else if (verb == "tally")
            give(TallyTold{static_cast<int>(l.number("build", 1)), static_cast<int>(l.number("route", 0)),
                           static_cast<int>(l.number("counted", 0)), static_cast<int>(l.number("lost", 0)),
                           span(l.number("mean", 0.05)), span(1)});
        else if (verb == "wrong") give(WrongReported{l.words.at(1), 0, span(1)});
        else if (verb == "wait") pass(now + span(std::stod(l.words.at(1))));
        else if (verb == "mark") seen.clear();
        else if (verb == "stop") give(Stopped{}), due.clear();
        else if (verb == "expect") {
            const double n = static_cast<double>(count(l));
            assert(n >= l.number("least", 1) && n <= l.number("most", 1e9));
        } else if (verb == "never") assert(count(l) == 0);
        else assert(false && "unknown verb");
    }
};

}  // namespace

int main(int argc, char **argv) {
    assert(argc == 2);
    std::ifstream in(argv[1]);
    assert(in.good());
    World world;
    std::string text;
    for (int number = 1; std::getline(in, text); ++number) {
        const Line line(text);
        if (line.words.empty()) continue;
        std::cerr << number << ": " << text << std::endl;  // the last line shown is the one that failed
        world.play(line);
    }
    world.pass(world.now + std::chrono::seconds(10));
}
