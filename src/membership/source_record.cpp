#include "source_record.hpp"

#include <algorithm>

namespace deckcart::membership {
namespace {

TimePoint expiryOf(TimePoint from, Duration lifetime) {
    return from + std::min(lifetime, kUnlimitedLifetime);
}

}  // namespace

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

SourceState SourceRecord::stateAt(TimePoint now, Duration maxStaleness) const {
    if (!hasReading)
        return SourceState::never;
    if (now < lifetimeEnd)
        return SourceState::fresh;
    return now < failsAt(maxStaleness) ? SourceState::stale : SourceState::failed;
}

TimePoint SourceRecord::failsAt(Duration maxStaleness) const {
    return expiryOf(lifetimeEnd, maxStaleness);
}

void SourceRecord::applyReading(const Reading &reading, const MergeRules &rules) {
    // Row 14: ignores a reading that is older than the last one.
    if (hasReading && reading.readAt < lastReadAt)
        return;
    const auto missing = missingFrom(reading);
    const bool confirm = needsConfirmation(reading, missing.size(), rules.confirmFraction);
    bool holdsAny = false;
    for (const auto &id : missing) {
        if (confirm && holdLoss(id, reading.readAt, rules.confirmAfter))
            holdsAny = true;
        else
            withdraw(id, reading.readAt);
    }
    for (const auto &claim : reading.claims)
        applyClaim(reading.readAt, claim, !hasReading);
    // While losses are held, the previous reporter stays the last one that was believed.
    if (!holdsAny)
        believedReporter = reading.reporter;
    hasReading = true;
    lastReadAt = reading.readAt;
    lifetimeEnd = expiryOf(reading.readAt, reading.lifetime);
    lastFault.clear();
}

void SourceRecord::applyChanges(TimePoint at, const std::vector<Claim> &claims) {
    if (!hasReading || at < lastReadAt)
        return;
    for (const auto &claim : claims)
        applyClaim(at, claim, false);
    lastReadAt = at;
}

void SourceRecord::markUnavailable(TimePoint at, const std::string &why) {
    lifetimeEnd = std::min(lifetimeEnd, at);
    lastFault = why;
}

// The listed endpoints that the reading leaves out. Row 12: a target whose address could not be
// resolved is not missing.
std::vector<EndpointId> SourceRecord::missingFrom(const Reading &reading) const {
    std::set<EndpointId> reported;
    for (const auto &claim : reading.claims)
        reported.insert(claim.entry.id);
    std::vector<EndpointId> missing;
    for (const auto &[id, listing] : listed)
        if (!reported.contains(id) && !reading.unresolved.contains(listing.claim.listedAs))
            missing.push_back(id);
    return missing;
}

// Losses need confirmation if they are large (row 10) or come from another reporter than the last
// one that was believed (row 11). A list set by the operator is believed at once (row 13).
bool SourceRecord::needsConfirmation(const Reading &reading, std::size_t missing,
                                     double confirmFraction) const {
    if (reading.lossesConfirmed)
        return false;
    const bool largeLoss = double(missing) > confirmFraction * double(listed.size());
    const bool otherReporter = !believedReporter.empty() && believedReporter != reading.reporter;
    return largeLoss || otherReporter;
}

// Row 10: holds the loss. Returns false once it was reported again at least `confirmAfter` after
// its first report.
bool SourceRecord::holdLoss(const EndpointId &id, TimePoint at, Duration confirmAfter) {
    const TimePoint since = heldLosses.try_emplace(id, at).first->second;
    return at - since < confirmAfter;
}

void SourceRecord::withdraw(const EndpointId &id, TimePoint at) {
    listed.erase(id);
    heldLosses.erase(id);
    withdrawn[id] = at;
}

void SourceRecord::applyClaim(TimePoint at, const Claim &claim, bool firstReading) {
    heldLosses.erase(claim.entry.id);
    withdrawn.erase(claim.entry.id);
    if (claim.entry.state == EndpointState::active)
        applyActive(at, claim, firstReading);
    else
        applyStop(at, claim);
}

// Rows 3 and 4: a stop notice dates from the first report of its state.
void SourceRecord::applyStop(TimePoint at, const Claim &claim) {
    const EndpointId &id = claim.entry.id;
    const EndpointState state = claim.entry.state;
    auto &stop = stops.try_emplace(id, StopNotice{state, at}).first->second;
    if (stop.state != state)
        stop = {state, at};
    if (state == EndpointState::removed)
        listed.erase(id);
    else
        listed[id] = {claim, at};
}

void SourceRecord::applyActive(TimePoint at, const Claim &claim, bool firstReading) {
    const EndpointId &id = claim.entry.id;
    stops.erase(id);
    const auto *previous = claimOn(id);
    const bool wasActive = previous && previous->active();
    ListedClaim listing{claim, wasActive ? previous->since : at};
    // Row 7: if the source reports no start time, an endpoint that first appears after the first
    // reading is taken to have started when it appeared.
    auto &startedAt = listing.claim.entry.startedAt;
    if (!startedAt) {
        if (wasActive)
            startedAt = previous->claim.entry.startedAt;
        else if (!firstReading)
            startedAt = at;
    }
    listed[id] = std::move(listing);
}

const ListedClaim *SourceRecord::claimOn(const EndpointId &id) const {
    const auto found = listed.find(id);
    return found == listed.end() ? nullptr : &found->second;
}

const StopNotice *SourceRecord::stopOf(const EndpointId &id) const {
    const auto found = stops.find(id);
    return found == stops.end() ? nullptr : &found->second;
}

std::optional<TimePoint> SourceRecord::oldestHeldLoss() const {
    std::optional<TimePoint> oldest;
    for (const auto &[id, since] : heldLosses)
        oldest = std::min(oldest.value_or(since), since);
    return oldest;
}

void SourceRecord::forgetAllExcept(const std::set<EndpointId> &keep) {
    const auto isDropped = [&](const auto &item) { return !keep.contains(item.first); };
    std::erase_if(stops, isDropped);
    std::erase_if(withdrawn, isDropped);
}

SavedSource SourceRecord::save(const std::string &name) const {
    SavedSource saved;
    saved.name = name;
    saved.reporter = believedReporter;
    saved.readAt = lastReadAt;
    saved.lifetime = lifetimeEnd - lastReadAt;
    for (const auto &[id, listing] : listed)
        saved.listed.emplace_back(listing.claim, listing.since);
    for (const auto &[id, stop] : stops)
        saved.stopNotices[id] = {stop.state, stop.since};
    saved.withdrawn = withdrawn;
    return saved;
}

void SourceRecord::restore(const SavedSource &saved) {
    hasReading = true;
    lastReadAt = saved.readAt;
    lifetimeEnd = saved.readAt;
    believedReporter = saved.reporter;
    lastFault = "not read since the restart; saved list in use";
    for (const auto &[claim, since] : saved.listed)
        listed[claim.entry.id] = {claim, since};
    for (const auto &[id, stop] : saved.stopNotices)
        stops[id] = {stop.first, stop.second};
    withdrawn = saved.withdrawn;
}

}  // namespace deckcart::membership
