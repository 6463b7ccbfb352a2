#include "merge.hpp"

#include <algorithm>

namespace deckcart::membership {
namespace {

// Makes MergeResult::nextChangeAt no later than `at`, unless that has passed.
void scheduleChange(MergeResult &view, TimePoint at, TimePoint now) {
    if (at > now)
        view.nextChangeAt = std::min(view.nextChangeAt.value_or(at), at);
}

SourceStatus makeSourceStatus(const SourceRecord &source, SourceState state, TimePoint now) {
    SourceStatus view;
    view.state = state;
    if (state != SourceState::never) {
        view.age = now - source.readAt();
        view.lifetimeLeft = std::max(Duration{0}, source.freshUntil() - now);
    }
    view.listed = source.listedClaims().size();
    view.heldLosses = source.heldLossCount();
    view.reporter = source.reporter();
    view.fault = source.fault();
    return view;
}

}  // namespace

Merge::Merge(MergeRules mergeRules) : rules(std::move(mergeRules)), sources(rules.sources.size()) {}

void Merge::applyReading(std::size_t source, const Reading &reading) {
    sources.at(source).applyReading(reading, rules);
}

void Merge::applyChanges(std::size_t source, TimePoint at, const std::vector<Claim> &claims) {
    sources.at(source).applyChanges(at, claims);
}

void Merge::markUnavailable(std::size_t source, TimePoint at, const std::string &why) {
    sources.at(source).markUnavailable(at, why);
}

void Merge::recordFailedAttempt(std::size_t source, const std::string &why) {
    sources.at(source).recordFailedAttempt(why);
}

MergeResult Merge::evaluate(TimePoint now) {
    MergeResult view;
    addSourceStatuses(now, view);
    const Precedence precedence(sources, rules, now);
    const auto decisions = decideAll(precedence);
    updateClasses(decisions);
    for (const auto &[id, decision] : decisions)
        view.members.push_back(makeMember(id, decision, precedence, now, view));
    forgetUnlisted();
    return view;
}

void Merge::addSourceStatuses(TimePoint now, MergeResult &view) const {
    for (std::size_t index = 0; index < sources.size(); ++index) {
        const SourceRecord &source = sources[index];
        const SourceState state = source.stateAt(now, rules.maxStaleness);
        if (state == SourceState::fresh)
            scheduleChange(view, source.freshUntil(), now);
        if (state == SourceState::fresh || state == SourceState::stale)
            scheduleChange(view, source.failsAt(rules.maxStaleness), now);
        // Row 10: held losses are confirmed by another reading of the source.
        if (const auto oldest = source.oldestHeldLoss()) {
            const TimePoint confirmAt = *oldest + rules.confirmAfter;
            view.confirmations.push_back({index, confirmAt});
            scheduleChange(view, confirmAt, now);
        }
        view.sources.push_back(makeSourceStatus(source, state, now));
    }
}

// Applies rows 1 to 5 to each endpoint. If none is live, row 8 falls back to the last readings of
// failed sources.
std::map<EndpointId, EndpointDecision> Merge::decideAll(const Precedence &precedence) const {
    std::set<EndpointId> ids = listedOrRouted();
    for (const auto &source : sources)
        for (const auto &[id, stop] : source.stopNotices())
            ids.insert(id);
    std::map<EndpointId, EndpointDecision> decisions;
    bool anyLive = false;
    for (const auto &id : ids) {
        const auto &decision = decisions[id] = precedence.decide(id);
        anyLive = anyLive || decision.live();
    }
    if (!anyLive && precedence.anyFailed())
        for (auto &[id, decision] : decisions)
            precedence.applyLastResort(id, decision);
    return decisions;
}

// Row 9: opens and closes priority classes.
void Merge::updateClasses(const std::map<EndpointId, EndpointDecision> &decisions) {
    std::map<BuildNumber, ClassCounts> counts;
    for (const auto &[id, decision] : decisions) {
        if (!decision.live())
            continue;
        const Claim &claim = decision.listing->claim;
        counts[claim.entry.build].add(claim.priority);
    }
    classes.update(counts, rules);
}

Member Merge::makeMember(const EndpointId &id, const EndpointDecision &decision,
                         const Precedence &precedence, TimePoint now, MergeResult &view) {
    Member member;
    member.reason = decision.reason;
    bool closed = false;
    if (decision.listing) {
        const Claim &claim = decision.listing->claim;
        member.entry = claim.entry;
        member.priority = claim.priority;
        closed = decision.live() && classes.closed(claim.entry.build, claim.priority);
        if (closed)
            member.reason =
                "in reserve: priority class " + std::to_string(claim.priority) + " is closed";
        member.reason += precedence.describeOtherBuilds(id, claim.entry.build);
    } else if (const auto *before = routed.find(id)) {
        member.entry = before->entry;
        member.priority = before->priority;
    }
    member.entry.id = id;
    member.sources = precedence.listedBy(id);
    const SourceStatus &decidingSource = view.sources[decision.decidingSource];
    member.age = decidingSource.age;
    member.lifetimeLeft = decidingSource.lifetimeLeft;
    member.state = decidingSource.state;
    updateRoutedSet(member, decision, closed, now, view);
    return member;
}

// Adds the endpoint to the routed set, drains it or removes it, and updates the member to match.
void Merge::updateRoutedSet(Member &member, const EndpointDecision &decision, bool closed,
                            TimePoint now, MergeResult &view) {
    const EndpointId id = member.entry.id;
    if (decision.state == EndpointState::removed) {  // row 3: removed at once
        member.entry.state = EndpointState::removed;
        member.inSet = false;
        routed.remove(id);
        return;
    }
    // Rows 4 and 7: an endpoint that is listed as draining stays draining as long as it is listed;
    // the grace period does not apply.
    if (decision.listed && !closed) {
        member.entry.state = decision.state;
        routed.put(member.entry, member.priority);
        return;
    }
    // Row 6: an endpoint that is no longer listed, or whose class is closed, drains with its
    // last entry and is removed after the grace period.
    member.entry.state = closed ? EndpointState::active : EndpointState::removed;
    member.inSet = false;
    if (const auto *draining = routed.drain(id, now, rules.grace)) {
        member.entry = draining->entry;
        member.priority = draining->priority;
        member.inSet = true;
        scheduleChange(view, *draining->graceStart + rules.grace, now);
    }
}

std::set<EndpointId> Merge::listedOrRouted() const {
    std::set<EndpointId> ids;
    for (const auto &source : sources)
        for (const auto &[id, listing] : source.listedClaims())
            ids.insert(id);
    for (const auto &[id, endpoint] : routed.all())
        ids.insert(id);
    return ids;
}

// Drops stop notices and withdrawals of endpoints that no source lists and that are not in the
// routed set: they have no effect any more.
void Merge::forgetUnlisted() {
    const auto keep = listedOrRouted();
    for (auto &source : sources)
        source.forgetAllExcept(keep);
}

std::vector<SavedSource> Merge::save() const {
    std::vector<SavedSource> saved;
    for (std::size_t index = 0; index < sources.size(); ++index)
        if (sources[index].everRead())
            saved.push_back(sources[index].save(rules.sources[index].name));
    return saved;
}

void Merge::copyStateFrom(const Merge &before) {
    for (std::size_t index = 0; index < sources.size(); ++index)
        for (std::size_t other = 0; other < before.sources.size(); ++other)
            if (before.rules.sources[other].name == rules.sources[index].name)
                sources[index] = before.sources[other];
    routed = before.routed;
    classes = before.classes;
}

void Merge::restore(const std::vector<SavedSource> &saved) {
    for (const auto &one : saved)
        for (std::size_t index = 0; index < sources.size(); ++index)
            if (rules.sources[index].name == one.name)
                sources[index].restore(one);
}

}  // namespace deckcart::membership
