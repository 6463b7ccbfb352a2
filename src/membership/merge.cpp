#include "merge.hpp"

#include <algorithm>

namespace deckcart::membership {
namespace {

// The view has to be looked at again by then, if that is still to come.
void lookAgainAt(View &view, TimePoint at, TimePoint now) {
    if (at > now)
        view.changesAt = std::min(view.changesAt.value_or(at), at);
}

SourceView viewOf(const SourceRecord &source, SourceState state, TimePoint now) {
    SourceView view;
    view.state = state;
    if (state != SourceState::never) {
        view.age = now - source.readAt();
        view.lifetimeLeft = std::max(Duration{0}, source.freshUntil() - now);
    }
    view.listed = source.listedClaims().size();
    view.held = source.heldLossCount();
    view.from = source.reporter();
    view.fault = source.fault();
    return view;
}

}  // namespace

Merge::Merge(MergeRules with) : rules(std::move(with)), sources(rules.sources.size()) {}

void Merge::took(std::size_t source, const Reading &reading) {
    sources.at(source).apply(reading, rules);
}

void Merge::applyChanges(std::size_t source, TimePoint at, const std::vector<Claim> &claims) {
    sources.at(source).applyChanges(at, claims);
}

void Merge::lost(std::size_t source, TimePoint at, const std::string &why) {
    sources.at(source).markLost(at, why);
}

void Merge::markFailedOnce(std::size_t source, const std::string &why) {
    sources.at(source).markFailedOnce(why);
}

View Merge::at(TimePoint now) {
    View view;
    viewSources(now, view);
    const Precedence precedence(sources, rules, now);
    const auto decisions = decideAll(precedence);
    updateClasses(decisions);
    for (const auto &[id, decision] : decisions)
        view.members.push_back(memberOf(id, decision, precedence, now, view));
    forget();
    return view;
}

void Merge::viewSources(TimePoint now, View &view) const {
    for (std::size_t index = 0; index < sources.size(); ++index) {
        const SourceRecord &source = sources[index];
        const SourceState state = source.stateAt(now, rules.longestStale);
        if (state == SourceState::fresh)
            lookAgainAt(view, source.freshUntil(), now);
        if (state == SourceState::fresh || state == SourceState::stale)
            lookAgainAt(view, source.failsAt(rules.longestStale), now);
        // Row 10: the source is read again to confirm its losses.
        if (const auto oldest = source.oldestHeldLoss()) {
            const TimePoint confirmAt = *oldest + rules.confirmAfter;
            view.confirm.push_back({index, confirmAt});
            lookAgainAt(view, confirmAt, now);
        }
        view.sources.push_back(viewOf(source, state, now));
    }
}

// Rows 1 to 5 for each endpoint, then row 8: what a failed source listed last is better than
// nothing at all.
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

// Row 9.
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

Member Merge::memberOf(const EndpointId &id, const EndpointDecision &decision,
                       const Precedence &precedence, TimePoint now, View &view) {
    Member member;
    member.reason = decision.reason;
    bool closed = false;
    if (decision.listing) {
        const Claim &claim = decision.listing->claim;
        member.entry = claim.entry;
        member.priority = claim.priority;
        closed = decision.live() && classes.closed(claim.entry.build, claim.priority);
        if (closed)
            member.reason = "in reserve: class " + std::to_string(claim.priority) + " is closed";
        member.reason += precedence.otherBuilds(id, claim.entry.build);
    } else if (const auto *before = routed.find(id)) {
        member.entry = before->entry;
        member.priority = before->priority;
    }
    member.entry.id = id;
    member.sources = precedence.listedBy(id);
    const SourceView &decider = view.sources[decision.decider];
    member.age = decider.age;
    member.lifetimeLeft = decider.lifetimeLeft;
    member.state = decider.state;
    place(member, decision, closed, now, view);
    return member;
}

// Puts the endpoint into the set, lets it leave or takes it out; the member is shown accordingly.
void Merge::place(Member &member, const EndpointDecision &decision, bool closed, TimePoint now,
                  View &view) {
    const EndpointId id = member.entry.id;
    if (decision.state == EndpointState::removed) {  // row 3: out at once
        member.entry.state = EndpointState::removed;
        member.inSet = false;
        routed.remove(id);
        return;
    }
    // Rows 4 and 7: one that is listed as draining does so as long as it is listed, without a
    // grace.
    if (decision.listed && !closed) {
        member.entry.state = decision.state;
        routed.put(member.entry, member.priority);
        return;
    }
    // Row 6: leaves as it was, and is gone after the grace. A closed class does the same.
    member.entry.state = closed ? EndpointState::active : EndpointState::removed;
    member.inSet = false;
    if (const auto *leaving = routed.leave(id, now, rules.grace)) {
        member.entry = leaving->entry;
        member.priority = leaving->priority;
        member.inSet = true;
        lookAgainAt(view, *leaving->leavingSince + rules.grace, now);
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

// What can't matter any more: stop notices and withdrawals of endpoints that no source lists and
// that are out of the set.
void Merge::forget() {
    const auto known = listedOrRouted();
    for (auto &source : sources)
        source.forgetAllBut(known);
}

std::vector<SavedSource> Merge::saved() const {
    std::vector<SavedSource> saved;
    for (std::size_t index = 0; index < sources.size(); ++index)
        if (sources[index].everRead())
            saved.push_back(sources[index].save(rules.sources[index].name));
    return saved;
}

void Merge::adopt(const Merge &before) {
    for (std::size_t index = 0; index < sources.size(); ++index)
        for (std::size_t other = 0; other < before.sources.size(); ++other)
            if (before.rules.sources[other].name == rules.sources[index].name)
                sources[index] = before.sources[other];
    routed = before.routed;
    classes = before.classes;
}

void Merge::recall(const std::vector<SavedSource> &saved) {
    for (const auto &one : saved)
        for (std::size_t index = 0; index < sources.size(); ++index)
            if (rules.sources[index].name == one.name)
                sources[index].restore(one);
}

}  // namespace deckcart::membership
