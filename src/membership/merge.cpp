#include "merge.hpp"

#include <algorithm>

namespace deckcart::membership {
namespace {

Duration added(Duration at, Duration lifetime) {
    return at + std::min(lifetime, kForever);
}

}  // namespace

const char *nameOf(SourceKind kind) {
    switch (kind) {
    case SourceKind::controlPlane:
        return "desk";
    case SourceKind::nodes:
        return "nodes";
    case SourceKind::srv:
        return "srv";
    }
    return "srv";
}
const char *nameOf(SourceState state) {
    switch (state) {
    case SourceState::never:
        return "never-read";
    case SourceState::fresh:
        return "fresh";
    case SourceState::stale:
        return "stale";
    case SourceState::failed:
        return "failed";
    }
    return "failed";
}

Merge::Merge(MergeRules with) : rules(std::move(with)), sources(rules.sources.size()) {}

SourceState Merge::stateOf(const Source &s, Duration now) const {
    if (!s.read)
        return SourceState::never;
    if (now < s.freshUntil)
        return SourceState::fresh;
    return now < failsAt(s) ? SourceState::stale : SourceState::failed;
}
Duration Merge::failsAt(const Source &s) const {
    return added(s.freshUntil, rules.longestStale);
}

void Merge::claim(Source &s, Duration at, const Claim &c, bool first) {
    const EndpointId &id = c.entry.id;
    s.held.erase(id);
    if (c.entry.state != EndpointState::active) {
        const auto it = s.stops.try_emplace(id, Stop{c.entry.state, at}).first;
        if (it->second.state != c.entry.state)
            it->second = {c.entry.state, at};
        if (c.entry.state == EndpointState::removed)
            s.listed.erase(id);
        else
            s.listed[id] = {c, at};
        s.withdrawn.erase(id);
        return;
    }
    s.stops.erase(id), s.withdrawn.erase(id);
    const auto before = s.listed.find(id);
    const bool goesOn =
        before != s.listed.end() && before->second.claim.entry.state == EndpointState::active;
    Held now{c, goesOn ? before->second.since : at};
    // A source that tells no start: one that turns up later has started then, as far as anyone
    // knows.
    if (!now.claim.entry.startedAt) {
        if (goesOn)
            now.claim.entry.startedAt = before->second.claim.entry.startedAt;
        else if (!first)
            now.claim.entry.startedAt = at;
    }
    s.listed[id] = std::move(now);
}

void Merge::withdraw(Source &s, const EndpointId &id, Duration at) {
    s.listed.erase(id), s.held.erase(id), s.withdrawn[id] = at;
}

void Merge::took(std::size_t source, Reading r) {
    Source &s = sources.at(source);
    if (s.read && r.at < s.at)
        return;
    std::set<EndpointId> told;
    for (const auto &c : r.claims)
        told.insert(c.entry.id);
    std::vector<EndpointId> missing;
    for (const auto &[id, held] : s.listed)
        if (!told.contains(id) && !r.unknown.contains(held.claim.as))
            missing.push_back(id);
    const bool much =
        !r.certain && double(missing.size()) > rules.confirmShare * double(s.listed.size());
    const bool another = !r.certain && !s.from.empty() && s.from != r.from;
    const bool first = !s.read;
    bool holds = false;
    for (const auto &id : missing) {
        if (much || another) {
            const Duration since = s.held.try_emplace(id, r.at).first->second;
            if (r.at - since < rules.confirmAfter) {
                holds = true;
                continue;
            }
        }
        withdraw(s, id, r.at);
    }
    for (const auto &c : r.claims)
        claim(s, r.at, c, first);
    // As long as losses are held, the one who told before counts as the last that was believed.
    if (!holds)
        s.from = r.from;
    s.read = true, s.at = r.at, s.freshUntil = added(r.at, r.lifetime), s.fault.clear();
}

void Merge::tookChanges(std::size_t source, Duration at, const std::vector<Claim> &claims) {
    Source &s = sources.at(source);
    if (!s.read || at < s.at)
        return;
    for (const auto &c : claims)
        claim(s, at, c, false);
    s.at = at;
}

void Merge::lost(std::size_t source, Duration at, const std::string &why) {
    Source &s = sources.at(source);
    s.freshUntil = std::min(s.freshUntil, at), s.fault = why;
}
void Merge::failedOnce(std::size_t source, const std::string &why) {
    sources.at(source).fault = why;
}

Merge::Said Merge::say(const EndpointId &id, const std::vector<std::size_t> &ranks,
                       std::size_t counted) const {
    Said said;
    // 1. Told to stop, by any source. It stands until that source says otherwise; once it has
    // failed, until a source that counts lists the instance anew.
    for (std::size_t k = 0; k < ranks.size(); ++k) {
        const Source &s = sources[ranks[k]];
        const auto stop = s.stops.find(id);
        if (stop == s.stops.end())
            continue;
        bool lifted = false;
        if (k >= counted)
            for (std::size_t other = 0; other < counted; ++other) {
                const auto &listed = sources[ranks[other]].listed;
                const auto it = listed.find(id);
                lifted |= it != listed.end() &&
                          it->second.claim.entry.state == EndpointState::active &&
                          it->second.since > stop->second.since;
            }
        if (lifted || said.state == EndpointState::removed)
            continue;
        if (said.state == EndpointState::active || stop->second.state == EndpointState::removed) {
            said.state = stop->second.state, said.decider = ranks[k];
            said.reason = std::string(said.state == EndpointState::removed ? "gone" : "draining") +
                          ", says " + rules.sources[ranks[k]].name;
        }
    }
    // 2. The first that lists it or has withdrawn it decides; failed sources come last.
    bool decided = false;
    for (const std::size_t k : ranks) {
        const Source &s = sources[k];
        const auto it = s.listed.find(id);
        if (it != s.listed.end() && !said.fields)
            said.fields = &it->second;
        if (decided)
            continue;
        if (it != s.listed.end()) {
            decided = said.listed = true;
            if (said.state == EndpointState::active) {
                said.decider = k;
                said.reason = s.held.contains(id)
                                  ? "missing, not confirmed yet, in " + rules.sources[k].name
                                  : "listed by " + rules.sources[k].name;
            }
        } else if (s.withdrawn.contains(id)) {
            decided = true;
            if (said.state == EndpointState::active) {
                said.decider = k, said.reason = "withdrawn by " + rules.sources[k].name;
            }
        }
    }
    if (decided || !said.reason.empty())
        return said;
    said.reason = "no source speaks of it";
    return said;
}

View Merge::at(Duration now) {
    View view;
    const auto later = [&](Duration at) {
        if (at > now && (!view.changesAt || at < *view.changesAt))
            view.changesAt = at;
    };
    std::vector<std::size_t> ranks, failed;
    for (std::size_t k = 0; k < sources.size(); ++k) {
        const Source &s = sources[k];
        SourceView v{stateOf(s, now), now - s.at,    std::max(Duration{0}, s.freshUntil - now),
                     s.listed.size(), s.held.size(), s.from,
                     s.fault};
        if (v.state == SourceState::never)
            v.age = v.lifetimeLeft = Duration{0};
        else
            (v.state == SourceState::failed ? failed : ranks).push_back(k);
        if (v.state == SourceState::fresh)
            later(s.freshUntil);
        if (v.state == SourceState::fresh || v.state == SourceState::stale)
            later(failsAt(s));
        if (!s.held.empty()) {
            Duration since = Duration::max();
            for (const auto &[id, held] : s.held)
                since = std::min(since, held);
            view.confirm.emplace_back(k, since + rules.confirmAfter);
            later(since + rules.confirmAfter);
        }
        view.sources.push_back(std::move(v));
    }
    const std::size_t counted = ranks.size();
    ranks.insert(ranks.end(), failed.begin(), failed.end());

    std::set<EndpointId> ids;
    for (const Source &s : sources) {
        for (const auto &[id, held] : s.listed)
            ids.insert(id);
        for (const auto &[id, stop] : s.stops)
            ids.insert(id);
    }
    for (const auto &[id, place] : set)
        ids.insert(id);
    std::map<EndpointId, Said> said;
    bool anyLive = false;
    const auto isLive = [](const Said &s) { return s.state == EndpointState::active && s.listed; };
    for (const auto &id : ids)
        anyLive |= isLive(said[id] = say(id, ranks, counted));
    // 3. Rather what a failed source listed last than nothing at all.
    if (!anyLive && !failed.empty())
        for (auto &[id, s] : said)
            for (const std::size_t k : failed) {
                const auto it = sources[k].listed.find(id);
                if (s.listed || s.state != EndpointState::active || it == sources[k].listed.end())
                    continue;
                if (it->second.claim.entry.state != EndpointState::active)
                    continue;
                s.listed = true, s.decider = k;
                s.reason = "nothing else is left; listed last by " + rules.sources[k].name;
            }

    // 4. Classes of priority, by build.
    struct Classes {
        int classless = 0;
        std::map<int, int> live;
    };
    std::map<BuildNumber, Classes> byBuild;
    for (const auto &[id, s] : said) {
        if (!isLive(s))
            continue;
        auto &of = byBuild[s.fields->claim.entry.build];
        s.fields->claim.priority == kNoClass ? ++of.classless : ++of.live[s.fields->claim.priority];
    }
    std::erase_if(open, [&](const auto &of) { return !byBuild.contains(of.first); });
    for (const auto &[build, of] : byBuild) {
        const auto &live = of.live;
        if (live.empty())
            continue;
        int &last = open.try_emplace(build, live.begin()->first).first->second;
        const auto upTo = [&of](int priority) {
            int n = of.classless;
            for (const auto &[at, count] : of.live)
                n += at <= priority ? count : 0;
            return n;
        };
        last = std::max(last, live.begin()->first);
        for (auto next = live.upper_bound(last);
             next != live.end() && upTo(last) < rules.reserveBelow; next = live.upper_bound(last))
            last = next->first;
        for (auto at = live.lower_bound(last);
             at != live.begin() && upTo(std::prev(at)->first) >= rules.reserveUntil;
             at = live.lower_bound(last))
            last = std::prev(at)->first;
    }

    for (auto &[id, s] : said) {
        const auto place = set.find(id);
        const auto opened = isLive(s) ? open.find(s.fields->claim.entry.build) : open.end();
        const bool reserve = opened != open.end() && s.fields->claim.priority > opened->second;
        if (reserve)
            s.reason =
                "in reserve: class " + std::to_string(s.fields->claim.priority) + " is closed";
        Member m;
        if (s.fields)
            m.entry = s.fields->claim.entry, m.priority = s.fields->claim.priority;
        else if (place != set.end())
            m.entry = place->second.entry, m.priority = place->second.priority;
        m.entry.id = id, m.reason = s.reason;
        for (const std::size_t k : ranks)
            if (sources[k].listed.contains(id))
                m.sources.push_back(rules.sources[k].name);
        m.age = view.sources[s.decider].age, m.lifetimeLeft = view.sources[s.decider].lifetimeLeft;
        m.state = view.sources[s.decider].state;
        if (s.fields)
            for (const std::size_t k : ranks) {
                const auto it = sources[k].listed.find(id);
                if (it != sources[k].listed.end() && it->second.claim.entry.build != m.entry.build)
                    m.reason += "; build " + std::to_string(it->second.claim.entry.build) + " in " +
                                rules.sources[k].name;
            }
        if (isLive(s) && !reserve) {
            m.entry.state = EndpointState::active;
            if (place == set.end())
                set[id] = {m.entry, m.priority, {}};
            else
                place->second = {m.entry, m.priority, {}};
        } else if (s.state == EndpointState::removed) {
            m.entry.state = EndpointState::removed, m.inSet = false;
            set.erase(id);
        } else if (s.state == EndpointState::draining && s.listed) {
            // As long as its source lists it so; it does not need the grace.
            m.entry.state = EndpointState::draining;
            if (place == set.end())
                set[id] = {m.entry, m.priority, {}};
            else
                place->second = {m.entry, m.priority, {}};
        } else {
            // Leaves, as it was: after the grace it is gone.
            m.entry.state = reserve ? EndpointState::active : EndpointState::removed,
            m.inSet = false;
            if (place != set.end()) {
                const Duration since = place->second.leaving.value_or(now);
                if (now - since >= rules.grace)
                    set.erase(place);
                else {
                    place->second.leaving = since,
                    place->second.entry.state = EndpointState::draining;
                    m.entry = place->second.entry, m.priority = place->second.priority,
                    m.inSet = true;
                    later(since + rules.grace);
                }
            }
        }
        view.members.push_back(std::move(m));
    }
    forget();
    return view;
}

// What can't matter any more: stops and withdrawals of instances that none lists and that are out
// of the set.
void Merge::forget() {
    std::set<EndpointId> known;
    for (const auto &s : sources)
        for (const auto &[id, held] : s.listed)
            known.insert(id);
    for (const auto &[id, place] : set)
        known.insert(id);
    for (auto &s : sources) {
        std::erase_if(s.stops, [&](const auto &of) { return !known.contains(of.first); });
        std::erase_if(s.withdrawn, [&](const auto &of) { return !known.contains(of.first); });
    }
}

std::vector<SavedSource> Merge::saved() const {
    std::vector<SavedSource> out;
    for (std::size_t k = 0; k < sources.size(); ++k) {
        const Source &s = sources[k];
        if (!s.read)
            continue;
        SavedSource one{
            rules.sources[k].name, s.from, s.at, s.freshUntil - s.at, {}, {}, s.withdrawn};
        for (const auto &[id, held] : s.listed)
            one.listed.emplace_back(held.claim, held.since);
        for (const auto &[id, stop] : s.stops)
            one.stops[id] = {stop.state, stop.since};
        out.push_back(std::move(one));
    }
    return out;
}

void Merge::adopt(const Merge &before) {
    for (std::size_t k = 0; k < sources.size(); ++k)
        for (std::size_t other = 0; other < before.sources.size(); ++other)
            if (before.rules.sources[other].name == rules.sources[k].name)
                sources[k] = before.sources[other];
    set = before.set, open = before.open;
}

void Merge::recall(const std::vector<SavedSource> &saved) {
    for (const auto &one : saved)
        for (std::size_t k = 0; k < sources.size(); ++k) {
            if (rules.sources[k].name != one.name)
                continue;
            Source &s = sources[k];
            s.read = true, s.at = one.at, s.from = one.from, s.fault = "of before this start";
            s.freshUntil = one.at;  // what a process before this one was told is stale
            for (const auto &[c, since] : one.listed)
                s.listed[c.entry.id] = {c, since};
            for (const auto &[id, stop] : one.stops)
                s.stops[id] = {stop.first, stop.second};
            s.withdrawn = one.withdrawn;
        }
}

}  // namespace deckcart::membership
