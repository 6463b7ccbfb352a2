// The table of docs/design-membership.md once more, as plainly as can be: everything is worked out
// anew from the whole history of reports. Slow, and written without the merge's own code;
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
    explicit Reference(MergeRules with) : rules(std::move(with)), history(rules.sources.size()) {}
    void took(std::size_t source, const Reading &reading) {
        history[source].push_back({++reportsSoFar, reading.at, Kind::reading, reading, {}});
    }
    void changed(std::size_t source, Duration at, const std::vector<Claim> &claims) {
        history[source].push_back({++reportsSoFar, at, Kind::changes, {}, claims});
    }
    void lost(std::size_t source, Duration at) {
        history[source].push_back({++reportsSoFar, at, Kind::loss, {}, {}});
    }

    // What is routed to at this time; call it after each report and at each time something runs
    // out.
    std::map<EndpointId, EndpointEntry> at(Duration now) {
        std::vector<Belief> beliefs;
        for (const auto &reports : history)
            beliefs.push_back(believe(reports));
        std::set<EndpointId> everyone;
        for (const auto &belief : beliefs)
            for (const auto &[id, about] : belief.about)
                everyone.insert(id);
        for (const auto &[id, entry] : inSet)
            everyone.insert(id);

        const Order order = orderOf(beliefs, now);
        Decided decided;
        for (const auto &id : everyone)
            decide(id, order, decided);
        if (decided.live.empty())
            addLastResort(order, decided);
        takeOutReserves(decided);
        inSet = withGrace(decided, now);
        forgetUnknown(everyone, beliefs);
        return inSet;
    }

  private:
    enum class Kind { reading, changes, loss };
    struct Report {
        int number = 0;
        Duration at{};
        Kind kind = Kind::reading;
        Reading reading;
        std::vector<Claim> claims;
    };
    struct About {
        bool listed = false;
        bool withdrawn = false;
        Claim claim;
        Duration since{};
        std::optional<EndpointState> stop;
        Duration stopSince{};
        std::optional<Duration> missingSince;
    };
    struct Belief {
        bool read = false;
        Duration at{};
        Duration freshUntil{};
        std::string trusted;
        std::map<EndpointId, About> about;
    };
    struct Order {
        std::vector<const Belief *> counting;
        std::vector<const Belief *> failed;
        std::vector<const Belief *> all;
    };
    struct Decided {
        std::map<EndpointId, EndpointEntry> live;
        std::map<EndpointId, EndpointEntry> draining;
        std::map<EndpointId, int> classes;
        std::set<EndpointId> gone;
        std::set<EndpointId> stopped;  // gone or draining
    };

    static bool listed(const Belief &belief, const EndpointId &id) {
        const auto it = belief.about.find(id);
        return it != belief.about.end() && it->second.listed;
    }

    // Rows 1 and 2: order of the sources.
    Order orderOf(const std::vector<Belief> &beliefs, Duration now) const {
        Order order;
        for (const auto &belief : beliefs) {
            if (!belief.read)
                continue;
            const bool counts = now < belief.freshUntil + rules.longestStale;
            (counts ? order.counting : order.failed).push_back(&belief);
        }
        order.all = order.counting;
        order.all.insert(order.all.end(), order.failed.begin(), order.failed.end());
        return order;
    }

    // Rows 1 and 2: the entry of the first that lists it.
    static const Claim *firstClaim(const EndpointId &id, const Order &order) {
        for (const auto *belief : order.all)
            if (listed(*belief, id))
                return &belief->about.at(id).claim;
        return nullptr;
    }

    // Row 3: a failed source's word ends once a counting one lists it anew.
    static bool stopIsOver(const EndpointId &id, const Belief &belief, const Order &order) {
        if (std::ranges::find(order.failed, &belief) == order.failed.end())
            return false;
        return std::ranges::any_of(order.counting, [&](const Belief *other) {
            return listed(*other, id) && !other->about.at(id).stop &&
                   other->about.at(id).since > belief.about.at(id).stopSince;
        });
    }

    // Row 5: the first with an opinion.
    static bool firstOpinionLists(const EndpointId &id, const Order &order) {
        for (const auto *belief : order.all) {
            const auto it = belief->about.find(id);
            if (it != belief->about.end() && (it->second.listed || it->second.withdrawn))
                return it->second.listed;
        }
        return false;
    }

    static void decide(const EndpointId &id, const Order &order, Decided &decided) {
        // Rows 3 and 4: told to stop.
        bool gone = false;
        bool drain = false;
        for (const auto *belief : order.all) {
            const auto it = belief->about.find(id);
            if (it == belief->about.end() || !it->second.stop || stopIsOver(id, *belief, order))
                continue;
            (*it->second.stop == EndpointState::removed ? gone : drain) = true;
        }
        if (gone || drain)
            decided.stopped.insert(id);
        if (gone) {
            decided.gone.insert(id);
            return;
        }
        if (!firstOpinionLists(id, order))
            return;
        const Claim &claim = *firstClaim(id, order);
        if (drain) {
            decided.draining[id] = claim.entry;
            return;
        }
        decided.live[id] = claim.entry;
        decided.classes[id] = claim.priority;
    }

    // Row 8: nothing else is left.
    static void addLastResort(const Order &order, Decided &decided) {
        for (const auto *belief : order.failed)
            for (const auto &[id, about] : belief->about) {
                if (!about.listed || about.stop || decided.stopped.contains(id) ||
                    decided.live.contains(id))
                    continue;
                const Claim &claim = *firstClaim(id, order);
                decided.live[id] = claim.entry;
                decided.classes[id] = claim.priority;
            }
    }

    // Row 9: the last class that is open, of the classes of one build's live endpoints.
    int lastOpen(int last, const std::vector<int> &classes, const std::set<int> &ordered) const {
        const auto count = [&classes](int upTo) {
            return std::ranges::count_if(classes, [upTo](int one) { return one <= upTo; });
        };
        last = std::max(last, *ordered.begin());
        for (const int one : ordered)
            if (one > last && count(last) < rules.reserveBelow)
                last = one;
        const std::vector<int> descending(ordered.rbegin(), ordered.rend());
        for (const int one : descending)
            if (one < last && count(one) >= rules.reserveUntil)
                last = one;
        return last;
    }

    // Row 9: reserves.
    void takeOutReserves(Decided &decided) {
        std::map<BuildNumber, std::vector<int>> byBuild;
        for (const auto &[id, entry] : decided.live)
            byBuild[entry.build].push_back(decided.classes[id]);
        std::erase_if(openUpTo, [&](const auto &item) { return !byBuild.contains(item.first); });
        for (const auto &[build, classes] : byBuild) {
            std::set<int> ordered(classes.begin(), classes.end());
            ordered.erase(membership::kNoClass);
            if (ordered.empty())
                continue;
            int &last = openUpTo.try_emplace(build, *ordered.begin()).first->second;
            last = lastOpen(last, classes, ordered);
            const int open = last;
            const BuildNumber ofBuild = build;
            std::erase_if(decided.live, [&decided, open, ofBuild](const auto &item) {
                return item.second.build == ofBuild && decided.classes[item.first] > open;
            });
        }
    }

    // Rows 6 and 7: what leaves is draining for the grace.
    std::map<EndpointId, EndpointEntry> withGrace(const Decided &decided, Duration now) {
        std::map<EndpointId, EndpointEntry> out;
        const auto put = [&](const EndpointId &id, const EndpointEntry &entry,
                             EndpointState state) {
            out[id] = entry;
            out[id].state = state;
        };
        for (const auto &[id, entry] : decided.live)
            put(id, entry, EndpointState::active);
        for (const auto &[id, entry] : decided.draining)
            put(id, entry, EndpointState::draining);
        std::erase_if(leaving, [&](const auto &item) { return out.contains(item.first); });
        for (const auto &[id, entry] : inSet) {
            if (out.contains(id) || decided.gone.contains(id))
                continue;
            const Duration since = leaving.try_emplace(id, now).first->second;
            if (now - since < rules.grace)
                put(id, entry, EndpointState::draining);
        }
        std::erase_if(leaving, [&](const auto &item) { return !out.contains(item.first); });
        return out;
    }

    // What none lists and is out of the set is forgotten, with all that was said of it.
    void forgetUnknown(const std::set<EndpointId> &everyone, const std::vector<Belief> &beliefs) {
        for (const auto &id : everyone) {
            const bool isListed = std::ranges::any_of(
                beliefs, [&](const Belief &belief) { return listed(belief, id); });
            if (!isListed && !inSet.contains(id))
                forgotten.emplace(reportsSoFar, id);
        }
    }

    // All reports of one source, from the first one on.
    Belief believe(const std::vector<Report> &reports) const {
        Belief belief;
        auto next = forgotten.begin();
        const auto forgetBefore = [&](int number) {
            for (; next != forgotten.end() && next->first < number; ++next)
                belief.about.erase(next->second);
        };
        for (const auto &report : reports) {
            forgetBefore(report.number);
            if (report.kind == Kind::loss)
                belief.freshUntil = std::min(belief.freshUntil, report.at);
            else if (report.kind == Kind::changes)
                believeChanges(belief, report);
            else
                believeReading(belief, report.reading);
        }
        forgetBefore(reportsSoFar + 1);
        return belief;
    }

    static void believeChanges(Belief &belief, const Report &report) {
        if (!belief.read || report.at < belief.at)
            return;
        for (const auto &claim : report.claims)
            believeClaim(belief, claim, report.at, false);
        belief.at = report.at;
    }

    void believeReading(Belief &belief, const Reading &reading) const {
        if (belief.read && reading.at < belief.at)
            return;
        const bool waits = believeLosses(belief, reading);
        for (const auto &claim : reading.claims)
            believeClaim(belief, claim, reading.at, !belief.read);
        if (!waits)
            belief.trusted = reading.from;
        belief.read = true;
        belief.at = reading.at;
        belief.freshUntil = reading.at + reading.lifetime;
    }

    // Rows 10 to 13; whether any loss waits.
    bool believeLosses(Belief &belief, const Reading &reading) const {
        const auto isMissing = [&](const EndpointId &id, const About &about) {
            return about.listed && !reading.unknown.contains(about.claim.as) &&
                   std::ranges::none_of(reading.claims,
                                        [&](const Claim &claim) { return claim.entry.id == id; });
        };
        int before = 0;
        int missing = 0;
        for (const auto &[id, about] : belief.about) {
            before += about.listed;
            missing += isMissing(id, about);
        }
        const bool careful =
            !reading.certain && (missing > rules.confirmShare * before ||
                                 (!belief.trusted.empty() && belief.trusted != reading.from));
        bool waits = false;
        for (auto &[id, about] : belief.about) {
            if (!isMissing(id, about))
                continue;
            if (careful && !about.missingSince)
                about.missingSince = reading.at;
            if (careful && reading.at < *about.missingSince + rules.confirmAfter) {
                waits = true;
                continue;
            }
            about.listed = false;
            about.withdrawn = true;
            about.missingSince.reset();
        }
        return waits;
    }

    static void believeClaim(Belief &belief, const Claim &claim, Duration when, bool first) {
        About &about = belief.about[claim.entry.id];
        const bool wasLive = about.listed && about.claim.entry.state == EndpointState::active;
        const auto startedBefore = about.claim.entry.startedAt;
        about.missingSince.reset();
        about.withdrawn = false;
        about.claim = claim;
        if (claim.entry.state != EndpointState::active) {
            if (about.stop != claim.entry.state) {
                about.stop = claim.entry.state;
                about.stopSince = when;
            }
            about.since = when;
            about.listed = claim.entry.state == EndpointState::draining;
            return;
        }
        about.stop.reset();
        about.listed = true;
        if (!wasLive)
            about.since = when;
        if (!claim.entry.startedAt && wasLive)
            about.claim.entry.startedAt = startedBefore;
        else if (!claim.entry.startedAt && !first)
            about.claim.entry.startedAt = when;
    }

    MergeRules rules;
    std::vector<std::vector<Report>> history;
    std::map<EndpointId, EndpointEntry> inSet;
    std::map<EndpointId, Duration> leaving;
    std::map<BuildNumber, int> openUpTo;
    int reportsSoFar = 0;
    std::multimap<int, EndpointId> forgotten;  // after which report
};

}  // namespace deckcart::test
