// What all sources together say of one endpoint: rows 1 to 5 and 8 of the table in
// docs/design-membership.md. Used by the merge; pure.
#pragma once

#include <span>

#include "source_record.hpp"

namespace deckcart::membership {

/// What is decided on one endpoint, before priority classes and the grace.
struct EndpointDecision {
    /// The strongest stop notice that stands; active: there is none.
    EndpointState state = EndpointState::active;
    /// Whether the deciding source lists it.
    bool listed = false;
    /// Of the first source that lists it; null: none does. Lives as long as the source's record
    /// does not change.
    const ListedClaim *listing = nullptr;
    /// Index of the deciding source.
    std::size_t decider = 0;
    /// As shown to operators.
    std::string reason;

    [[nodiscard]] bool live() const { return state == EndpointState::active && listed; }
};

/// The sources in the order in which they decide at one time. Refers to the records and rules that
/// it was made from.
class Precedence {
  public:
    /// Fresh and stale sources by the order of the rules, then the failed ones. Those never read
    /// have no say.
    Precedence(const std::vector<SourceRecord> &records, const MergeRules &rules, TimePoint now);

    [[nodiscard]] EndpointDecision decide(const EndpointId &id) const;
    [[nodiscard]] bool anyFailed() const { return !failedSources().empty(); }
    /// Row 8, where nothing else is live: lets the endpoint stand if a failed source listed it
    /// last and none told it to stop.
    void applyLastResort(const EndpointId &id, EndpointDecision &decision) const;
    /// Names of the sources that list it, by precedence.
    [[nodiscard]] std::vector<std::string> listedBy(const EndpointId &id) const;
    /// Row 2: for the reason, each source that lists it with another build.
    [[nodiscard]] std::string otherBuilds(const EndpointId &id, BuildNumber build) const;

  private:
    [[nodiscard]] std::span<const std::size_t> countingSources() const;
    [[nodiscard]] std::span<const std::size_t> failedSources() const;
    [[nodiscard]] bool listedAnewSince(const EndpointId &id, TimePoint stop) const;
    void applyStops(const EndpointId &id, EndpointDecision &decision) const;
    void applyListings(const EndpointId &id, EndpointDecision &decision) const;

    const std::vector<SourceRecord> &records;
    const MergeRules &rules;
    std::vector<std::size_t> order;  // of sources that count, then of failed ones
    std::size_t counting = 0;        // how many of them count
};

}  // namespace deckcart::membership
