#include "precedence.hpp"

#include <algorithm>

namespace deckcart::membership {

Precedence::Precedence(const std::vector<SourceRecord> &sources, const MergeRules &mergeRules,
                       TimePoint now)
    : records(sources), rules(mergeRules) {
    std::vector<std::size_t> failed;
    for (std::size_t source = 0; source < records.size(); ++source) {
        const SourceState state = records[source].stateAt(now, rules.maxStaleness);
        if (state == SourceState::failed)
            failed.push_back(source);
        else if (state != SourceState::never)
            order.push_back(source);
    }
    validCount = order.size();
    order.insert(order.end(), failed.begin(), failed.end());
}

std::span<const std::size_t> Precedence::validSources() const {
    return std::span(order).first(validCount);
}

std::span<const std::size_t> Precedence::failedSources() const {
    return std::span(order).subspan(validCount);
}

EndpointDecision Precedence::decide(const EndpointId &id) const {
    EndpointDecision decision;
    applyStops(id, decision);
    applyListings(id, decision);
    return decision;
}

// Row 3, second half: the stop notice of a failed source is void once a fresh or stale source has
// begun to list the endpoint as active after that notice.
bool Precedence::relistedSince(const EndpointId &id, TimePoint stop) const {
    return std::ranges::any_of(validSources(), [&](std::size_t source) {
        const auto *listing = records[source].claimOn(id);
        return listing && listing->active() && listing->since > stop;
    });
}

// Rows 3 and 4: a stop notice of any source applies. The first notice by precedence decides, except
// that removed overrides draining.
void Precedence::applyStops(const EndpointId &id, EndpointDecision &decision) const {
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        const std::size_t source = order[rank];
        const auto *stop = records[source].stopOf(id);
        if (!stop || (rank >= validCount && relistedSince(id, stop->since)))
            continue;
        const bool removed = stop->state == EndpointState::removed;
        if (decision.state == EndpointState::active ||
            (decision.state == EndpointState::draining && removed)) {
            decision.state = stop->state;
            decision.decidingSource = source;
            decision.reason = (removed ? "removed by " : "draining, reported by ");
            decision.reason += rules.sources[source].name;
        }
    }
}

// Rows 1, 2 and 5: the first source by precedence that lists the endpoint or has withdrawn it
// decides, failed sources last. The entry is that of the first source that lists it.
void Precedence::applyListings(const EndpointId &id, EndpointDecision &decision) const {
    const auto listsIt = [&](std::size_t source) { return records[source].claimOn(id) != nullptr; };
    const auto first = std::ranges::find_if(order, listsIt);
    if (first != order.end())
        decision.listing = records[*first].claimOn(id);
    const auto deciding = std::ranges::find_if(
        order, [&](std::size_t source) { return listsIt(source) || records[source].withdrew(id); });
    if (deciding == order.end()) {
        if (decision.reason.empty())
            decision.reason = "not listed by any source";
        return;
    }
    decision.listed = listsIt(*deciding);
    if (decision.state != EndpointState::active)
        return;
    decision.decidingSource = *deciding;
    if (!decision.listed)
        decision.reason = "withdrawn by ";
    else if (records[*deciding].holdsLossOf(id))
        decision.reason = "missing, not confirmed yet, in ";
    else
        decision.reason = "listed by ";
    decision.reason += rules.sources[*deciding].name;
}

void Precedence::applyLastResort(const EndpointId &id, EndpointDecision &decision) const {
    if (decision.listed || decision.state != EndpointState::active)
        return;
    for (const std::size_t source : failedSources()) {
        const auto *listing = records[source].claimOn(id);
        if (!listing || !listing->active())
            continue;
        decision.listed = true;
        decision.decidingSource = source;
        decision.reason = "kept as a last resort; last listed by " + rules.sources[source].name;
        return;
    }
}

std::vector<std::string> Precedence::listedBy(const EndpointId &id) const {
    std::vector<std::string> names;
    for (const std::size_t source : order)
        if (records[source].claimOn(id))
            names.push_back(rules.sources[source].name);
    return names;
}

std::string Precedence::describeOtherBuilds(const EndpointId &id, BuildNumber build) const {
    std::string text;
    for (const std::size_t source : order) {
        const auto *listing = records[source].claimOn(id);
        if (!listing || listing->claim.entry.build == build)
            continue;
        text += "; build " + std::to_string(listing->claim.entry.build) + " in " +
                rules.sources[source].name;
    }
    return text;
}

}  // namespace deckcart::membership
