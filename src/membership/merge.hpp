// What the sources of the endpoint list last reported, turned into the one set that is routed to,
// with a reason for each entry. The rule is the table in docs/design-membership.md. Pure: no I/O,
// no clock, no chance. It decides neither health nor routing: that is the decision module's.
#pragma once

#include "precedence.hpp"
#include "priority_classes.hpp"
#include "routed_set.hpp"

namespace deckcart::membership {

/// One source, as shown to operators.
struct SourceView {
    SourceState state = SourceState::never;
    /// Since its last reading.
    Duration age{};
    /// Zero: over.
    Duration lifetimeLeft{};
    std::size_t listed = 0;
    /// Losses that wait for confirmation.
    std::size_t held = 0;
    std::string from;
    std::string fault;
};

/// One endpoint that any source lists or that is still in the set.
struct Member {
    EndpointEntry entry;
    int priority = kNoClass;
    /// False: only shown.
    bool inSet = true;
    std::string reason;
    /// That list it, by precedence.
    std::vector<std::string> sources;
    /// Age, rest of the lifetime and state of the source that decides.
    Duration age{};
    Duration lifetimeLeft{};
    SourceState state = SourceState::never;
};

/// A source whose held losses have to be confirmed: read it again at this time.
struct Confirmation {
    std::size_t source = 0;
    TimePoint at{};
};

struct View {
    std::vector<Member> members;  // by id
    std::vector<SourceView> sources;
    std::vector<Confirmation> confirm;
    /// Look again then, even if nothing is reported.
    std::optional<TimePoint> changesAt;
};

/// One thread. Sources are given by their index in MergeRules::sources; std::out_of_range for
/// others.
class Merge {
  public:
    explicit Merge(MergeRules rules);

    /// A source was read. Times don't go back within a source: a reading older than the last one
    /// is ignored.
    void took(std::size_t source, const Reading &reading);
    /// Changes to what the source listed; those that are removed leave its list.
    void applyChanges(std::size_t source, TimePoint at, const std::vector<Claim> &claims);
    /// It can't be read: its last reading is stale from now on at the latest.
    void lost(std::size_t source, TimePoint at, const std::string &why);
    /// One attempt of many to read it failed; the reading lives on.
    void markFailedOnce(std::size_t source, const std::string &why);

    /// The set at a time not before any reported so far. Carries out what is due by then.
    View at(TimePoint now);

    [[nodiscard]] std::vector<SavedSource> saved() const;
    /// What a process before this one saved; before anything is reported. Sources are found by
    /// name.
    void recall(const std::vector<SavedSource> &saved);
    /// All that a merge under other rules knows, on the same clock; its sources by name.
    void adopt(const Merge &before);

  private:
    void viewSources(TimePoint now, View &view) const;
    [[nodiscard]] std::map<EndpointId, EndpointDecision>
    decideAll(const Precedence &precedence) const;
    void updateClasses(const std::map<EndpointId, EndpointDecision> &decisions);
    Member memberOf(const EndpointId &id, const EndpointDecision &decision,
                    const Precedence &precedence, TimePoint now, View &view);
    void place(Member &member, const EndpointDecision &decision, bool closed, TimePoint now,
               View &view);
    [[nodiscard]] std::set<EndpointId> listedOrRouted() const;
    void forget();

    MergeRules rules;
    std::vector<SourceRecord> sources;
    RoutedSet routed;
    PriorityClasses classes;
};

}  // namespace deckcart::membership
