#include "invariant_checker.hpp"

#include <algorithm>
#include <set>
#include <stdexcept>
#include <unordered_map>

namespace deckcart::scenarios {
namespace {

std::string at(Duration time) {
    const auto wholeMilliseconds =
        double(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    return std::to_string(wholeMilliseconds / 1000) + " s";
}

struct Auditor {
    const Records &r;
    const RuleParameters &f;
    std::vector<Violation> found;
    std::unordered_map<std::string, const ClientRecord *> client;
    std::unordered_map<std::string, std::vector<const EndpointRecord *>>
        attempts;  // of a request, by time

    void breach(Rule rule, std::string request, Duration when, std::string words) {
        found.push_back({rule, std::move(request), when, std::move(words)});
    }
    const Route &route(const ClientRecord &c) const { return f.routes.at(std::size_t(c.route)); }

    void index() {
        for (const auto &c : r.clients)
            if (!client.emplace(c.requestId, &c).second)
                throw std::invalid_argument("two clients' tries are called " + c.requestId);
        for (const auto &t : r.instances)
            attempts[t.requestId].push_back(&t);
        for (auto &[request, list] : attempts)
            std::ranges::stable_sort(list, {}, [](const EndpointRecord *t) { return t->received; });
    }

    // Whether the gateway could not answer: killed meanwhile, or standing still when the client's
    // time ran out.
    bool excused(const ClientRecord &c) const {
        return std::ranges::any_of(r.halts, [&](const GatewayHalt &h) {
            if (h.gateway != c.gateway)
                return false;
            if (h.kind == HaltKind::killed)
                return h.from <= c.givesUp && h.until >= c.sent;
            return h.from <= c.givesUp && h.until + f.slack >= c.givesUp;
        });
    }

    void oneAnswer() {
        for (const auto &c : r.clients) {
            if (c.sent == Duration{0} || c.end == ClientEnd::unreached)
                continue;
            if (c.answers > 1)
                breach(Rule::oneAnswer, c.requestId, c.answered,
                       std::to_string(c.answers) + " answers came");
            if (c.answers == 0 && !excused(c))
                breach(Rule::oneAnswer, c.requestId, c.givesUp,
                       c.end == ClientEnd::cut
                           ? "its connection was cut without an answer"
                           : "sent at " + at(c.sent) + ", no answer until the client gave up");
            if (c.answers > 0 && c.answered > c.givesUp + f.slack && !excused(c))
                breach(Rule::oneAnswer, c.requestId, c.answered,
                       "answered after the client gave up at " + at(c.givesUp));
            const auto mine = attempts.find(c.requestId);
            if (mine == attempts.end() || c.answered == Duration{0})
                continue;
            for (const auto *t : mine->second)
                if (t->received > c.answered + f.slack &&
                    !halted(c.gateway, c.answered, t->received))
                    breach(Rule::oneAnswer, c.requestId, t->received,
                           "sent to " + t->endpoint + " after its final answer at " +
                               at(c.answered));
        }
    }
    // What a stopped gateway had handed to its sockets, an instance may read late.
    bool halted(int gateway, Duration from, Duration until) const {
        return std::ranges::any_of(r.halts, [&](const GatewayHalt &h) {
            return h.gateway == gateway && h.from <= until && h.until >= from;
        });
    }

    void noEffectTwice() {
        for (const auto &[request, list] : attempts) {
            const auto c = client.find(request);
            if (c == client.end())
                continue;
            const Route &rt = route(*c->second);
            if (rt.idempotency == Idempotency::idempotent)
                continue;
            const EndpointRecord *ran = nullptr;
            for (const auto *t : list) {
                if (ran && rt.idempotency == Idempotency::nonIdempotent)
                    breach(Rule::noEffectTwice, request, t->received,
                           "non-retriable, sent to " + t->endpoint + " though it may have run on " +
                               ran->endpoint + " at " + at(ran->received));
                if (ran && rt.idempotency == Idempotency::withKey) {
                    if (t->received > ran->received + rt.deduplicationWindow + f.slack)
                        breach(Rule::noEffectTwice, request, t->received,
                               "deduped, sent again to " + t->endpoint + " after the memory of " +
                                   at(ran->received));
                    const bool inGroup = rt.deduplicationScope == DeduplicationScope::all ||
                                         (t->zone == ran->zone &&
                                          (rt.deduplicationScope == DeduplicationScope::zone ||
                                           t->cell == ran->cell));
                    if (!inGroup)
                        breach(Rule::noEffectTwice, request, t->received,
                               "deduped, sent again to " + t->endpoint + " outside the group of " +
                                   ran->endpoint);
                }
                if (t->mayHaveRun && !ran)
                    ran = t;
            }
            const bool sheddable = rt.idempotency == Idempotency::withKey &&
                                   rt.deduplicationScope == DeduplicationScope::all;
            if (ran && c->second->end == ClientEnd::shed && !sheddable &&
                ran->received < c->second->answered)
                breach(Rule::noEffectTwice, request, c->second->answered,
                       "shed though it may have run on " + ran->endpoint);
        }
    }

    // Whether the gateway runs without a kill from one moment to the other: a killed one has
    // forgotten.
    bool sameLife(int gateway, Duration from, Duration until) const {
        return std::ranges::none_of(r.halts, [&](const GatewayHalt &h) {
            return h.gateway == gateway && h.kind == HaltKind::killed && h.from <= until &&
                   h.until >= from;
        });
    }

    void drains() {
        std::map<std::pair<int, EndpointId>, std::vector<const EndpointNotification *>> told;
        for (const auto &t : r.endpoints)
            told[{t.gateway, t.endpoint}].push_back(&t);
        for (const auto &t : r.instances) {
            const auto c = client.find(t.requestId);
            if (c == client.end())
                continue;
            const int gateway = c->second->gateway;
            const auto list = told.find({gateway, t.endpoint});
            if (list == told.end())
                continue;
            const EndpointNotification *last =
                nullptr;  // the first that told it is not live, since it was told live last
            for (const auto *news : list->second) {
                if (news->at > t.received)
                    break;
                if (news->state == EndpointState::active)
                    last = nullptr;
                else if (!last)
                    last = news;
            }
            if (last && t.received > last->at + f.drainGrace + f.slack &&
                sameLife(gateway, last->at, t.received) && !halted(gateway, last->at, t.received))
                breach(Rule::drains, t.requestId, t.received,
                       "sent to " + t.endpoint + ", which gateway " + std::to_string(gateway) +
                           " was told at " + at(last->at) + " to leave");
        }
    }

    void slowStart() {
        for (const auto &fall : r.overloadedEndpoints) {
            std::size_t all = 0, informed = 0;
            for (const auto &t : r.instances) {
                if (t.endpoint != fall.endpoint || t.received < fall.from ||
                    t.received > fall.until)
                    continue;
                ++all;
                const auto c = client.find(t.requestId);
                if (c == client.end())
                    continue;
                informed += std::ranges::any_of(r.endpoints, [&](const EndpointNotification &news) {
                    return news.gateway == c->second->gateway && news.endpoint == t.endpoint &&
                           news.startedNow && news.at <= t.received;
                });
            }
            if (3 * informed >= 2 * all)
                breach(Rule::slowStart, fall.endpoint, fall.until,
                       "fell over while cold: " + std::to_string(all) + " tries from " +
                           at(fall.from) + " on, " + std::to_string(informed) +
                           " of gateways that knew of its start");
        }
    }

    bool onTrial(const RolloutNotification *k, BuildNumber build) const {
        if (!k)
            return build > f.firstBuild;
        return build > k->build || (build == k->build && k->phase != RolloutPhase::released);
    }
    double exposureLimit(const RolloutNotification *k, BuildNumber build) const {
        if (!onTrial(k, build))
            return 1e9;
        return k && k->build == build ? k->exposureLimit : f.firstExposureLimit;
    }

    void exposure() {
        std::map<int, std::vector<RolloutNotification>> news;
        for (const auto &t : r.releases)
            news[t.gateway].push_back(t);
        struct Sent {
            Duration at;
            const EndpointRecord *t;
            const ClientRecord *c;
        };
        std::map<std::tuple<int, BuildNumber, int>, std::vector<Sent>>
            sent;                                                    // gateway, build, route or -1
        std::map<std::pair<int, int>, std::vector<Duration>> taken;  // gateway, route or -1
        const auto counted = [&](int route) { return f.exposurePerRoute ? route : -1; };
        for (const auto &c : r.clients)
            if (c.sent != Duration{0} && c.end != ClientEnd::unreached)
                taken[{c.gateway, counted(c.route)}].push_back(c.sent);
        for (auto &[who, times] : taken)
            std::ranges::sort(times);
        for (const auto &t : r.instances) {
            const auto c = client.find(t.requestId);
            if (c != client.end())
                sent[{c->second->gateway, t.build, counted(c->second->route)}].push_back(
                    {t.received, &t, c->second});
        }
        for (auto &[where, list] : sent) {
            const auto &[gateway, build, routeNo] = where;
            std::ranges::sort(list, {}, &Sent::at);
            const auto &told = news[gateway];
            const auto &requests = taken[{gateway, routeNo}];
            for (std::size_t k = 0; k < list.size(); ++k) {
                const Duration now = list[k].at;
                // The loosest of what it may go by: what it knew a grace ago, and all that it was
                // told since.
                const RolloutNotification *before = nullptr;
                std::vector<const RolloutNotification *> valid;
                for (const auto &n : told) {
                    if (n.at <= now - f.drainGrace - f.slack)
                        before = &n;
                    else if (n.at <= now)
                        valid.push_back(&n);
                }
                if (!before || !sameLife(gateway, before->at, now))
                    valid.push_back(nullptr);
                if (before)
                    valid.push_back(before);
                double most = 0;
                bool trial = true, guarded = true;
                for (const auto *n : valid) {
                    most = std::max(most, exposureLimit(n, build));
                    trial = trial && onTrial(n, build);
                    guarded =
                        guarded && (n && n->build == build ? n->step : 0) < f.idempotentOnlyStages;
                }
                if (!trial)
                    continue;
                if (guarded && route(*list[k].c).idempotency != Idempotency::idempotent)
                    breach(Rule::exposure, list[k].t->requestId, now,
                           "not retriable, sent to build " + std::to_string(build) +
                               " in a guarded stage");
                // Counted afresh from where a lower cap came to bind, or the build was not on trial
                // before.
                Duration from = now - f.exposureWindow;
                for (std::size_t n = 0; n < told.size(); ++n) {
                    const RolloutNotification *prior = n ? &told[n - 1] : nullptr;
                    if (told[n].at <= now &&
                        exposureLimit(&told[n], build) < exposureLimit(prior, build))
                        from = std::max(from, told[n].at + f.drainGrace);
                }
                const auto sentThere = std::ranges::count_if(
                    list, [&](const Sent &s) { return s.at > from && s.at <= now; });
                const auto accepted =
                    std::ranges::upper_bound(requests, now + f.slack) -
                    std::ranges::lower_bound(requests, now - f.exposureWindow - f.slack);
                if (double(sentThere) > f.exposureAllowance + most * double(accepted) + 1e-9 &&
                    !halted(gateway, from, now))
                    breach(Rule::exposure, list[k].t->requestId, now,
                           "gateway " + std::to_string(gateway) + " sent " +
                               std::to_string(sentThere) + " tries to build " +
                               std::to_string(build) + " since " + at(from) + "; " +
                               std::to_string(accepted) + " reqs at a cap of " +
                               std::to_string(most) + " allow fewer");
            }
        }
    }

    void stickyKeys() {
        if (!f.stickyKeys)
            return;
        std::map<std::pair<int, std::string>, std::vector<const ClientRecord *>> answered;
        for (const auto &c : r.clients)
            if (c.end == ClientEnd::completed && !c.key.empty())
                answered[{c.gateway, c.key}].push_back(&c);
        for (const auto &t : r.instances) {
            const auto c = client.find(t.requestId);
            if (c == client.end())
                continue;
            const int gateway = c->second->gateway;
            const auto list = answered.find({gateway, c->second->key});
            if (list == answered.end())
                continue;
            for (const auto *a : list->second) {
                if (a->build <= t.build || a->answered + f.slack >= t.received)
                    continue;
                if (!sameLife(gateway, a->answered, t.received))
                    continue;
                const bool sentBack =
                    std::ranges::any_of(r.releases, [&](const RolloutNotification &n) {
                        return n.gateway == gateway && n.at <= t.received && n.build >= a->build &&
                               n.at >= a->answered - f.slack &&
                               (n.phase == RolloutPhase::rollingBack ||
                                n.phase == RolloutPhase::rolledBack);
                    });
                if (sentBack)
                    continue;
                breach(Rule::exposure, t.requestId, t.received,
                       "key " + c->second->key + " sent to build " + std::to_string(t.build) +
                           " after build " + std::to_string(a->build) + " answered it at " +
                           at(a->answered));
                break;
            }
        }
    }
};

}  // namespace

const char *nameOf(Rule rule) {
    switch (rule) {
    case Rule::oneAnswer:
        return "no req is lost";
    case Rule::noEffectTwice:
        return "no effect happens twice";
    case Rule::drains:
        return "drains are kept";
    case Rule::slowStart:
        return "a cold instance is not pushed over";
    case Rule::exposure:
        return "exposure stays within the cap";
    }
    return "";
}

std::vector<Violation> audit(const Records &records, const RuleParameters &parameters) {
    Auditor auditor{records, parameters, {}, {}, {}};
    auditor.index();
    auditor.oneAnswer();
    auditor.noEffectTwice();
    auditor.drains();
    auditor.slowStart();
    auditor.exposure();
    auditor.stickyKeys();
    std::ranges::stable_sort(auditor.found, {}, &Violation::at);
    return std::move(auditor.found);
}

}  // namespace deckcart::scenarios
