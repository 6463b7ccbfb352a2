// A second, simple implementation of the table in docs/design-membership.md. It recomputes
// everything from the whole history of reports: slow, and independent of the merge's own code.
// Tests compare the two.
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
    explicit Reference(MergeRules mergeRules)
        : rules(std::move(mergeRules)), history(rules.sources.size()) {}
    void applyReading(std::size_t source, const Reading &reading) {
        history[source].push_back({++reportsSoFar, reading.readAt, Kind::reading, reading, {}});
    }
    void applyChanges(std::size_t source, Duration at, const std::vector<Claim> &claims) {
        history[source].push_back({++reportsSoFar, at, Kind::changes, {}, claims});
    }
    void markUnavailable(std::size_t source, Duration at) {
        history[source].push_back({++reportsSoFar, at, Kind::unavailable, {}, {}});
    }

    // The routed set at this time. To be called after each report and whenever a lifetime or a
    // grace period ends.
    std::map<EndpointId, EndpointEntry> evaluate(Duration now) {
        std::vector<SourceModel> models;
        for (const auto &reports : history)
            models.push_back(replay(reports));
        std::set<EndpointId> allIds;
        for (const auto &model : models)
            for (const auto &[id, endpoint] : model.endpoints)
                allIds.insert(id);
        for (const auto &[id, entry] : routed)
            allIds.insert(id);

        const Ranking ranking = rankSources(models, now);
        Decisions decisions;
        for (const auto &id : allIds)
            decide(id, ranking, decisions);
        if (decisions.live.empty())
            addLastResort(ranking, decisions);
        removeReserves(decisions);
        routed = applyGrace(decisions, now);
        forgetUnknown(allIds, models);
        return routed;
    }

  private:
    enum class Kind { reading, changes, unavailable };
    struct Report {
        int number = 0;
        Duration at{};
        Kind kind = Kind::reading;
        Reading reading;
        std::vector<Claim> claims;
    };
    struct EndpointModel {
        bool listed = false;
        bool withdrawn = false;
        Claim claim;
        Duration since{};
        std::optional<EndpointState> stop;
        Duration stopSince{};
        std::optional<Duration> missingSince;
    };
    struct SourceModel {
        bool read = false;
        Duration at{};
        Duration freshUntil{};
        std::string believedReporter;
        std::map<EndpointId, EndpointModel> endpoints;
    };
    struct Ranking {
        std::vector<const SourceModel *> valid;
        std::vector<const SourceModel *> failed;
        std::vector<const SourceModel *> all;
    };
    struct Decisions {
        std::map<EndpointId, EndpointEntry> live;
        std::map<EndpointId, EndpointEntry> draining;
        std::map<EndpointId, int> classes;
        std::set<EndpointId> removed;
        std::set<EndpointId> stopped;  // removed or draining
    };

    static bool listed(const SourceModel &model, const EndpointId &id) {
        const auto it = model.endpoints.find(id);
        return it != model.endpoints.end() && it->second.listed;
    }

    // Rows 1 and 2: the precedence of the sources.
    Ranking rankSources(const std::vector<SourceModel> &models, Duration now) const {
        Ranking ranking;
        for (const auto &model : models) {
            if (!model.read)
                continue;
            const bool isValid = now < model.freshUntil + rules.maxStaleness;
            (isValid ? ranking.valid : ranking.failed).push_back(&model);
        }
        ranking.all = ranking.valid;
        ranking.all.insert(ranking.all.end(), ranking.failed.begin(), ranking.failed.end());
        return ranking;
    }

    // Rows 1 and 2: the claim of the first source that lists the endpoint.
    static const Claim *firstClaim(const EndpointId &id, const Ranking &ranking) {
        for (const auto *model : ranking.all)
            if (listed(*model, id))
                return &model->endpoints.at(id).claim;
        return nullptr;
    }

    // Row 3: the stop notice of a failed source is void once a fresh or stale source has listed the
    // endpoint again.
    static bool stopIsVoid(const EndpointId &id, const SourceModel &model, const Ranking &ranking) {
        if (std::ranges::find(ranking.failed, &model) == ranking.failed.end())
            return false;
        return std::ranges::any_of(ranking.valid, [&](const SourceModel *other) {
            return listed(*other, id) && !other->endpoints.at(id).stop &&
                   other->endpoints.at(id).since > model.endpoints.at(id).stopSince;
        });
    }

    // Row 5: the first source that lists the endpoint or has withdrawn it decides.
    static bool decidingSourceLists(const EndpointId &id, const Ranking &ranking) {
        for (const auto *model : ranking.all) {
            const auto it = model->endpoints.find(id);
            if (it != model->endpoints.end() && (it->second.listed || it->second.withdrawn))
                return it->second.listed;
        }
        return false;
    }

    static void decide(const EndpointId &id, const Ranking &ranking, Decisions &decisions) {
        // Rows 3 and 4: stop notices.
        bool removed = false;
        bool draining = false;
        for (const auto *model : ranking.all) {
            const auto it = model->endpoints.find(id);
            if (it == model->endpoints.end() || !it->second.stop || stopIsVoid(id, *model, ranking))
                continue;
            (*it->second.stop == EndpointState::removed ? removed : draining) = true;
        }
        if (removed || draining)
            decisions.stopped.insert(id);
        if (removed) {
            decisions.removed.insert(id);
            return;
        }
        if (!decidingSourceLists(id, ranking))
            return;
        const Claim &claim = *firstClaim(id, ranking);
        if (draining) {
            decisions.draining[id] = claim.entry;
            return;
        }
        decisions.live[id] = claim.entry;
        decisions.classes[id] = claim.priority;
    }

    // Row 8: if no endpoint is live, falls back to what failed sources listed last.
    static void addLastResort(const Ranking &ranking, Decisions &decisions) {
        for (const auto *model : ranking.failed)
            for (const auto &[id, endpoint] : model->endpoints) {
                if (!endpoint.listed || endpoint.stop || decisions.stopped.contains(id) ||
                    decisions.live.contains(id))
                    continue;
                const Claim &claim = *firstClaim(id, ranking);
                decisions.live[id] = claim.entry;
                decisions.classes[id] = claim.priority;
            }
    }

    // Row 9: the new last open class, given the classes of one build's live endpoints.
    int nextLastOpen(int last, const std::vector<int> &classes,
                     const std::set<int> &ordered) const {
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

    // Row 9: removes live endpoints whose class is closed.
    void removeReserves(Decisions &decisions) {
        std::map<BuildNumber, std::vector<int>> byBuild;
        for (const auto &[id, entry] : decisions.live)
            byBuild[entry.build].push_back(decisions.classes[id]);
        std::erase_if(lastOpenClass,
                      [&](const auto &item) { return !byBuild.contains(item.first); });
        for (const auto &[build, classes] : byBuild) {
            std::set<int> ordered(classes.begin(), classes.end());
            ordered.erase(membership::kNoPriorityClass);
            if (ordered.empty())
                continue;
            int &last = lastOpenClass.try_emplace(build, *ordered.begin()).first->second;
            last = nextLastOpen(last, classes, ordered);
            const int open = last;
            const BuildNumber ofBuild = build;
            std::erase_if(decisions.live, [&decisions, open, ofBuild](const auto &item) {
                return item.second.build == ofBuild && decisions.classes[item.first] > open;
            });
        }
    }

    // Rows 6 and 7: an endpoint that leaves the set is draining for the grace period.
    std::map<EndpointId, EndpointEntry> applyGrace(const Decisions &decisions, Duration now) {
        std::map<EndpointId, EndpointEntry> out;
        const auto put = [&](const EndpointId &id, const EndpointEntry &entry,
                             EndpointState state) {
            out[id] = entry;
            out[id].state = state;
        };
        for (const auto &[id, entry] : decisions.live)
            put(id, entry, EndpointState::active);
        for (const auto &[id, entry] : decisions.draining)
            put(id, entry, EndpointState::draining);
        std::erase_if(graceStart, [&](const auto &item) { return out.contains(item.first); });
        for (const auto &[id, entry] : routed) {
            if (out.contains(id) || decisions.removed.contains(id))
                continue;
            const Duration since = graceStart.try_emplace(id, now).first->second;
            if (now - since < rules.grace)
                put(id, entry, EndpointState::draining);
        }
        std::erase_if(graceStart, [&](const auto &item) { return !out.contains(item.first); });
        return out;
    }

    // Forgets all reports on endpoints that no source lists and that are not in the set.
    void forgetUnknown(const std::set<EndpointId> &allIds, const std::vector<SourceModel> &models) {
        for (const auto &id : allIds) {
            const bool isListed = std::ranges::any_of(
                models, [&](const SourceModel &model) { return listed(model, id); });
            if (!isListed && !routed.contains(id))
                forgotten.emplace(reportsSoFar, id);
        }
    }

    // The state of one source after all its reports.
    SourceModel replay(const std::vector<Report> &reports) const {
        SourceModel model;
        auto next = forgotten.begin();
        const auto forgetBefore = [&](int number) {
            for (; next != forgotten.end() && next->first < number; ++next)
                model.endpoints.erase(next->second);
        };
        for (const auto &report : reports) {
            forgetBefore(report.number);
            if (report.kind == Kind::unavailable)
                model.freshUntil = std::min(model.freshUntil, report.at);
            else if (report.kind == Kind::changes)
                replayChanges(model, report);
            else
                replayReading(model, report.reading);
        }
        forgetBefore(reportsSoFar + 1);
        return model;
    }

    static void replayChanges(SourceModel &model, const Report &report) {
        if (!model.read || report.at < model.at)
            return;
        for (const auto &claim : report.claims)
            replayClaim(model, claim, report.at, false);
        model.at = report.at;
    }

    void replayReading(SourceModel &model, const Reading &reading) const {
        if (model.read && reading.readAt < model.at)
            return;
        const bool holdsAny = replayLosses(model, reading);
        for (const auto &claim : reading.claims)
            replayClaim(model, claim, reading.readAt, !model.read);
        if (!holdsAny)
            model.believedReporter = reading.reporter;
        model.read = true;
        model.at = reading.readAt;
        model.freshUntil = reading.readAt + reading.lifetime;
    }

    // Rows 10 to 13. Returns whether any loss is held.
    bool replayLosses(SourceModel &model, const Reading &reading) const {
        const auto isMissing = [&](const EndpointId &id, const EndpointModel &endpoint) {
            return endpoint.listed && !reading.unresolved.contains(endpoint.claim.listedAs) &&
                   std::ranges::none_of(reading.claims,
                                        [&](const Claim &claim) { return claim.entry.id == id; });
        };
        int listedBefore = 0;
        int missing = 0;
        for (const auto &[id, endpoint] : model.endpoints) {
            listedBefore += endpoint.listed;
            missing += isMissing(id, endpoint);
        }
        const bool needsConfirmation =
            !reading.lossesConfirmed &&
            (missing > rules.confirmFraction * listedBefore ||
             (!model.believedReporter.empty() && model.believedReporter != reading.reporter));
        bool holdsAny = false;
        for (auto &[id, endpoint] : model.endpoints) {
            if (!isMissing(id, endpoint))
                continue;
            if (needsConfirmation && !endpoint.missingSince)
                endpoint.missingSince = reading.readAt;
            if (needsConfirmation && reading.readAt < *endpoint.missingSince + rules.confirmAfter) {
                holdsAny = true;
                continue;
            }
            endpoint.listed = false;
            endpoint.withdrawn = true;
            endpoint.missingSince.reset();
        }
        return holdsAny;
    }

    static void replayClaim(SourceModel &model, const Claim &claim, Duration when, bool first) {
        EndpointModel &endpoint = model.endpoints[claim.entry.id];
        const bool wasLive = endpoint.listed && endpoint.claim.entry.state == EndpointState::active;
        const auto startedBefore = endpoint.claim.entry.startedAt;
        endpoint.missingSince.reset();
        endpoint.withdrawn = false;
        endpoint.claim = claim;
        if (claim.entry.state != EndpointState::active) {
            if (endpoint.stop != claim.entry.state) {
                endpoint.stop = claim.entry.state;
                endpoint.stopSince = when;
            }
            endpoint.since = when;
            endpoint.listed = claim.entry.state == EndpointState::draining;
            return;
        }
        endpoint.stop.reset();
        endpoint.listed = true;
        if (!wasLive)
            endpoint.since = when;
        if (!claim.entry.startedAt && wasLive)
            endpoint.claim.entry.startedAt = startedBefore;
        else if (!claim.entry.startedAt && !first)
            endpoint.claim.entry.startedAt = when;
    }

    MergeRules rules;
    std::vector<std::vector<Report>> history;
    std::map<EndpointId, EndpointEntry> routed;
    std::map<EndpointId, Duration> graceStart;
    std::map<BuildNumber, int> lastOpenClass;
    int reportsSoFar = 0;
    std::multimap<int, EndpointId> forgotten;  // by the number of the last report before
};

}  // namespace deckcart::test
