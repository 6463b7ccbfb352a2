// Merges the last readings of all sources of the endpoint list into the one set of endpoints that
// receive requests, with a reason for each entry. The rules are the numbered rows of the table in
// docs/design-membership.md. Pure: no I/O, no clock, no randomness. Health and routing are decided
// by the decision module, not here.
#pragma once

#include "precedence.hpp"
#include "priority_classes.hpp"
#include "routed_set.hpp"

namespace deckcart::membership {

/// State of one source, as shown to operators.
struct SourceStatus {
    SourceState state = SourceState::never;
    /// Time since its last reading.
    Duration age{};
    /// Remaining lifetime of its last reading; zero once that has expired.
    Duration lifetimeLeft{};
    std::size_t listed = 0;
    /// Number of losses that wait for confirmation.
    std::size_t heldLosses = 0;
    /// Reporter of the last reading that was believed.
    std::string reporter;
    /// Why the source could not be read last; empty if it could.
    std::string fault;
};

/// An endpoint that some source lists, or that is still in the routed set.
struct Member {
    EndpointEntry entry;
    int priority = kNoPriorityClass;
    /// False: shown to operators only, receives no requests.
    bool inSet = true;
    std::string reason;
    /// Names of the sources that list it, by precedence.
    std::vector<std::string> sources;
    /// Age, remaining lifetime and state of the deciding source.
    Duration age{};
    Duration lifetimeLeft{};
    SourceState state = SourceState::never;
};

/// Asks for another reading of a source, to confirm its held losses.
struct Confirmation {
    /// Index in MergeRules::sources.
    std::size_t source = 0;
    /// When to read it.
    TimePoint readAt{};
};

/// Result of a merge.
struct MergeResult {
    std::vector<Member> members;  // by id
    std::vector<SourceStatus> sources;
    std::vector<Confirmation> confirmations;
    /// The next time at which the result can change without a new reading, because a lifetime, a
    /// grace period or a wait for confirmation ends. Empty: none is pending.
    std::optional<TimePoint> nextChangeAt;
};

/// Holds the state of all sources and of the routed set. Not thread-safe. Sources are given by
/// their index in MergeRules::sources; any other index throws std::out_of_range.
class Merge {
  public:
    explicit Merge(MergeRules rules);

    /// Applies a new reading of a source; ignored if it is older than that source's last one.
    void applyReading(std::size_t source, const Reading &reading);
    /// Applies changes to the last reading of a source; claims with state removed are unlisted.
    void applyChanges(std::size_t source, TimePoint at, const std::vector<Claim> &claims);
    /// The source can't be read: its last reading becomes stale at `at` at the latest.
    void markUnavailable(std::size_t source, TimePoint at, const std::string &why);
    /// Records that a single attempt to read the source failed; its last reading is not affected.
    void recordFailedAttempt(std::size_t source, const std::string &why);

    /// Computes the set at `now` and performs the transitions that are due by then.
    /// @param now  not before any time reported so far
    MergeResult evaluate(TimePoint now);

    /// The state to persist, of each source that was read.
    [[nodiscard]] std::vector<SavedSource> save() const;
    /// Restores what an earlier process saved; sources are matched by name. To be called before
    /// anything is reported.
    void restore(const std::vector<SavedSource> &saved);
    /// Copies the state of a merge with other rules that uses the same clock; sources are matched
    /// by name.
    void copyStateFrom(const Merge &before);

  private:
    void addSourceStatuses(TimePoint now, MergeResult &view) const;
    [[nodiscard]] std::map<EndpointId, EndpointDecision>
    decideAll(const Precedence &precedence) const;
    void updateClasses(const std::map<EndpointId, EndpointDecision> &decisions);
    Member makeMember(const EndpointId &id, const EndpointDecision &decision,
                      const Precedence &precedence, TimePoint now, MergeResult &view);
    void updateRoutedSet(Member &member, const EndpointDecision &decision, bool closed,
                         TimePoint now, MergeResult &view);
    [[nodiscard]] std::set<EndpointId> listedOrRouted() const;
    void forgetUnlisted();

    MergeRules rules;
    std::vector<SourceRecord> sources;
    RoutedSet routed;
    PriorityClasses classes;
};

}  // namespace deckcart::membership
