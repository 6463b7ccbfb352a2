// The table of docs/design-membership.md once more, as plainly as can be: everything is worked out
// anew from the whole history of what was told. Slow, and written without the merge's own code;
// tests compare the two.
#pragma once

#include <algorithm>
#include <deckcart/policy.hpp>
#include <functional>

#include "../../src/membership/merge.hpp"

namespace deckcart::test {

using membership::Claim;
using membership::MergeRules;
using membership::Reading;

class Reference {
  public:
    explicit Reference(MergeRules r) : rules(std::move(r)), history(rules.sources.size()) {}
    void took(std::size_t source, const Reading &r) {
        history[source].push_back({++toldSoFar, r.at, 'r', r, {}});
    }
    void changed(std::size_t source, Duration at, const std::vector<Claim> &c) {
        history[source].push_back({++toldSoFar, at, 'c', {}, c});
    }
    void lost(std::size_t source, Duration at) {
        history[source].push_back({++toldSoFar, at, 'l', {}, {}});
    }

    // What is routed to at this time; call it after each thing told and at each time something runs
    // out.
    std::map<EndpointId, EndpointEntry> at(Duration now) {
        std::vector<Belief> beliefs;
        std::set<EndpointId> everyone;
        for (const auto &told : history)
            beliefs.push_back(believe(told));
        for (const auto &b : beliefs)
            for (const auto &[id, of] : b.about)
                everyone.insert(id);
        for (const auto &[id, of] : inSet)
            everyone.insert(id);

        // Rows 1 and 2: order of the sources.
        std::vector<const Belief *> counting, failed;
        for (const auto &b : beliefs)
            if (b.read)
                (now < b.freshUntil + rules.longestStale ? counting : failed).push_back(&b);
        auto inOrder = counting;
        inOrder.insert(inOrder.end(), failed.begin(), failed.end());

        std::map<EndpointId, EndpointEntry> live, draining;
        std::map<EndpointId, int> classes;
        std::set<EndpointId> goneNow, stopped;
        for (const auto &id : everyone) {
            const About *fields = nullptr;
            for (const auto *b : inOrder)
                if (!fields && listed(*b, id))
                    fields = &b->about.at(id);
            // Rows 3 and 4: told to stop.
            bool gone = false, drain = false;
            for (const auto *b : inOrder) {
                const auto it = b->about.find(id);
                if (it == b->about.end() || !it->second.stop)
                    continue;
                bool newLife = false;
                if (std::ranges::find(failed, b) != failed.end())
                    for (const auto *c : counting)
                        newLife |= listed(*c, id) && !c->about.at(id).stop &&
                                   c->about.at(id).since > it->second.stopSince;
                if (newLife)
                    continue;
                (*it->second.stop == EndpointState::removed ? gone : drain) = true;
            }
            // Rows 5 and 6: the first with an opinion.
            bool has = false, decided = false;
            for (const auto *b : inOrder) {
                const auto it = b->about.find(id);
                if (decided || it == b->about.end())
                    continue;
                if (it->second.listed)
                    has = decided = true;
                else if (it->second.withdrawn)
                    decided = true;
            }
            if (gone || drain)
                stopped.insert(id);
            if (gone)
                goneNow.insert(id);
            else if (drain && has)
                draining[id] = fields->claim.entry;
            else if (!drain && has)
                live[id] = fields->claim.entry, classes[id] = fields->claim.priority;
        }
        // Row 8: nothing else is left.
        if (live.empty())
            for (const auto *b : failed)
                for (const auto &[id, of] : b->about)
                    if (of.listed && !of.stop && !stopped.contains(id) && !live.contains(id)) {
                        const About *fields = nullptr;
                        for (const auto *c : inOrder)
                            if (!fields && listed(*c, id))
                                fields = &c->about.at(id);
                        live[id] = fields->claim.entry, classes[id] = fields->claim.priority;
                    }
        // Row 9: reserves.
        std::map<BuildNumber, std::vector<int>> byBuild;
        for (const auto &[id, e] : live)
            byBuild[e.build].push_back(classes[id]);
        for (auto it = openUpTo.begin(); it != openUpTo.end();)
            it = byBuild.contains(it->first) ? std::next(it) : openUpTo.erase(it);
        for (const auto &[build, all] : byBuild) {
            std::set<int> ordered(all.begin(), all.end());
            ordered.erase(membership::kNoClass);
            if (ordered.empty())
                continue;
            const auto count = [&](int upTo) {
                return std::ranges::count_if(all, [&](int c) { return c <= upTo; });
            };
            int &last = openUpTo.try_emplace(build, *ordered.begin()).first->second;
            last = std::max(last, *ordered.begin());
            for (const int c : ordered)
                if (c > last && count(last) < rules.reserveBelow)
                    last = c;
            for (auto c = ordered.rbegin(); c != ordered.rend(); ++c)
                if (*c < last && count(*c) >= rules.reserveUntil)
                    last = *c;
            for (auto it = live.begin(); it != live.end();)
                it = it->second.build == build && classes[it->first] > last ? live.erase(it)
                                                                            : std::next(it);
        }
        // Rows 6 and 7: what leaves is draining for the grace.
        std::map<EndpointId, EndpointEntry> out;
        for (const auto &[id, e] : live)
            out[id] = e, out[id].state = EndpointState::active, leaving.erase(id);
        for (const auto &[id, e] : draining)
            out[id] = e, out[id].state = EndpointState::draining, leaving.erase(id);
        for (const auto &[id, e] : inSet) {
            if (out.contains(id) || goneNow.contains(id))
                continue;
            const Duration since = leaving.try_emplace(id, now).first->second;
            if (now - since >= rules.grace)
                continue;
            out[id] = e, out[id].state = EndpointState::draining;
        }
        for (auto it = leaving.begin(); it != leaving.end();)
            it = out.contains(it->first) ? std::next(it) : leaving.erase(it);
        inSet = out;
        // What none lists and is out of the set is forgotten, with all that was said of it.
        for (const auto &id : everyone) {
            bool known = out.contains(id);
            for (const auto &b : beliefs)
                known |= listed(b, id);
            if (!known)
                forgotten.emplace(toldSoFar, id);
        }
        return out;
    }

  private:
    struct Told {
        int no = 0;
        Duration at{};
        char kind;
        Reading reading;
        std::vector<Claim> claims;
    };
    struct About {
        bool listed = false, withdrawn = false;
        Claim claim;
        Duration since{};
        std::optional<EndpointState> stop;
        Duration stopSince{};
        std::optional<Duration> missingSince;
    };
    struct Belief {
        bool read = false;
        Duration freshUntil{};
        std::map<EndpointId, About> about;
    };
    static bool listed(const Belief &b, const EndpointId &id) {
        const auto it = b.about.find(id);
        return it != b.about.end() && it->second.listed;
    }
    Belief believe(const std::vector<Told> &told) const {
        Belief b;
        std::string trusted;
        Duration at{};
        const auto say = [&](const Claim &c, Duration when, bool first) {
            About &a = b.about[c.entry.id];
            const bool wasLive = a.listed && a.claim.entry.state == EndpointState::active;
            const auto startedBefore = a.claim.entry.startedAt;
            a.missingSince.reset(), a.withdrawn = false;
            if (c.entry.state == EndpointState::active) {
                a.stop.reset();
                if (!wasLive)
                    a.since = when;
                a.claim = c, a.listed = true;
                if (!c.entry.startedAt && wasLive)
                    a.claim.entry.startedAt = startedBefore;
                else if (!c.entry.startedAt && !first)
                    a.claim.entry.startedAt = when;
            } else {
                if (a.stop != c.entry.state)
                    a.stop = c.entry.state, a.stopSince = when;
                a.claim = c, a.since = when, a.listed = c.entry.state == EndpointState::draining;
            }
        };
        auto forget = forgotten.begin();
        const auto forgetBefore = [&](int no) {
            for (; forget != forgotten.end() && forget->first < no; ++forget)
                b.about.erase(forget->second);
        };
        for (const auto &t : told) {
            forgetBefore(t.no);
            if (t.kind == 'l') {
                b.freshUntil = std::min(b.freshUntil, t.at);
                continue;
            }
            if (t.kind == 'c') {
                if (!b.read || t.at < at)
                    continue;
                for (const auto &c : t.claims)
                    say(c, t.at, false);
                at = t.at;
                continue;
            }
            if (b.read && t.at < at)
                continue;
            const auto &r = t.reading;
            int before = 0, missing = 0;
            const auto isMissing = [&](const EndpointId &id, const About &a) {
                return a.listed && !r.unknown.contains(a.claim.as) &&
                       std::ranges::none_of(r.claims,
                                            [&](const Claim &c) { return c.entry.id == id; });
            };
            for (const auto &[id, a] : b.about)
                before += a.listed, missing += isMissing(id, a);
            const bool careful = !r.certain && (missing > rules.confirmShare * before ||
                                                (!trusted.empty() && trusted != r.from));
            bool waits = false;
            for (auto &[id, a] : b.about) {
                if (!isMissing(id, a))
                    continue;
                if (careful && !a.missingSince)
                    a.missingSince = r.at;
                if (careful && r.at < *a.missingSince + rules.confirmAfter)
                    waits = true;
                else
                    a.listed = false, a.withdrawn = true, a.missingSince.reset();
            }
            for (const auto &c : r.claims)
                say(c, r.at, !b.read);
            if (!waits)
                trusted = r.from;
            b.read = true, at = r.at, b.freshUntil = r.at + r.lifetime;
        }
        forgetBefore(toldSoFar + 1);
        return b;
    }

    MergeRules rules;
    std::vector<std::vector<Told>> history;
    std::map<EndpointId, EndpointEntry> inSet;
    std::map<EndpointId, Duration> leaving;
    std::map<BuildNumber, int> openUpTo;
    int toldSoFar = 0;
    std::multimap<int, EndpointId> forgotten;  // after which of the things told
};

}  // namespace deckcart::test
