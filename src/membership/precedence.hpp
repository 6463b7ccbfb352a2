// Decides what all sources together say about one endpoint: rows 1 to 5 and 8 of the table in
// docs/design-membership.md. Used by the merge; pure.
#pragma once

#include <span>

#include "source_record.hpp"

namespace deckcart::membership {

/// The decision on one endpoint, before priority classes and the grace period are applied.
struct EndpointDecision {
    /// State of the strongest stop notice in force; active: there is none.
    EndpointState state = EndpointState::active;
    /// Whether the deciding source lists the endpoint.
    bool listed = false;
    /// The claim of the first source that lists the endpoint; null: none does. Valid until that
    /// source's record changes.
    const ListedClaim *listing = nullptr;
    /// Index of the deciding source.
    std::size_t decidingSource = 0;
    /// As shown to operators.
    std::string reason;

    [[nodiscard]] bool live() const { return state == EndpointState::active && listed; }
};

/// The sources in their order of precedence at one time. Holds references to the records and rules
/// passed to the constructor.
class Precedence {
  public:
    /// Fresh and stale sources in the order of the rules, then the failed ones. Sources that were
    /// never read are left out.
    Precedence(const std::vector<SourceRecord> &records, const MergeRules &rules, TimePoint now);

    [[nodiscard]] EndpointDecision decide(const EndpointId &id) const;
    [[nodiscard]] bool anyFailed() const { return !failedSources().empty(); }
    /// Row 8, for when no endpoint is live: makes the endpoint live if a failed source listed it as
    /// active in its last reading and no stop notice is in force.
    void applyLastResort(const EndpointId &id, EndpointDecision &decision) const;
    /// Names of the sources that list the endpoint, by precedence.
    [[nodiscard]] std::vector<std::string> listedBy(const EndpointId &id) const;
    /// Row 2: text for the reason that names each source that lists the endpoint with another
    /// build.
    [[nodiscard]] std::string describeOtherBuilds(const EndpointId &id, BuildNumber build) const;

  private:
    [[nodiscard]] std::span<const std::size_t> validSources() const;
    [[nodiscard]] std::span<const std::size_t> failedSources() const;
    [[nodiscard]] bool relistedSince(const EndpointId &id, TimePoint stop) const;
    void applyStops(const EndpointId &id, EndpointDecision &decision) const;
    void applyListings(const EndpointId &id, EndpointDecision &decision) const;

    const std::vector<SourceRecord> &records;
    const MergeRules &rules;
    std::vector<std::size_t> order;  // indices: fresh and stale sources, then failed ones
    std::size_t validCount = 0;      // how many at the start of `order` are fresh or stale
};

}  // namespace deckcart::membership
