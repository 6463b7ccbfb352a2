// The state of one source: how fresh its last reading is, what it lists, which losses wait for
// confirmation, which endpoints it withdrew or told to stop. Used by the merge; pure.
#pragma once

#include <map>
#include <optional>
#include <utility>

#include "merge_rules.hpp"
#include "reading.hpp"

namespace deckcart::membership {

enum class SourceState { never, fresh, stale, failed };
/// As the gateway's API and logs write it.
[[nodiscard]] const char *nameOf(SourceState state);

/// What has to outlive the process, of one source. Points in time are on the merge's clock.
struct SavedSource {
    std::string name;
    std::string from;
    TimePoint at{};
    Duration lifetime{};
    /// Each claim with the time since which it is listed as active without a break.
    std::vector<std::pair<Claim, TimePoint>> listed;
    /// Stop notices that stand: draining or removed, and since when.
    std::map<EndpointId, std::pair<EndpointState, TimePoint>> stops;
    std::map<EndpointId, TimePoint> withdrawn;
};

/// A claim that its source lists now.
struct ListedClaim {
    Claim claim;
    /// Listed as active without a break since then.
    TimePoint since{};

    [[nodiscard]] bool active() const { return claim.entry.state == EndpointState::active; }
};

/// A source's notice that an endpoint is to stop: draining or removed.
struct StopNotice {
    EndpointState state = EndpointState::draining;
    TimePoint since{};
};

/// One source of the endpoint list, by what it reported so far.
class SourceRecord {
  public:
    /// Takes over a whole list. One that is older than the last reading is ignored (row 14).
    void apply(const Reading &reading, const MergeRules &rules);
    /// Takes over changes to the last reading; ignored before the first one and if older.
    void applyChanges(TimePoint at, const std::vector<Claim> &claims);
    /// The source can't be read: its last reading is stale from `at` on at the latest.
    void markLost(TimePoint at, const std::string &why);
    /// One attempt of many failed: the last reading lives on.
    void markFailedOnce(const std::string &why) { lastFault = why; }

    [[nodiscard]] SourceState stateAt(TimePoint now, Duration longestStale) const;
    /// When the source counts as failed, unless it is read again.
    [[nodiscard]] TimePoint failsAt(Duration longestStale) const;
    [[nodiscard]] bool everRead() const { return read; }
    [[nodiscard]] TimePoint readAt() const { return lastReadAt; }
    /// The end of the last reading's lifetime.
    [[nodiscard]] TimePoint freshUntil() const { return lifetimeEnd; }
    /// Who gave the last reading that was believed.
    [[nodiscard]] const std::string &reporter() const { return believedReporter; }
    /// Why it could not be read last; empty: it could.
    [[nodiscard]] const std::string &fault() const { return lastFault; }

    [[nodiscard]] const std::map<EndpointId, ListedClaim> &listedClaims() const { return listed; }
    [[nodiscard]] const std::map<EndpointId, StopNotice> &stopNotices() const { return stops; }
    /// The claim on this endpoint, or null.
    [[nodiscard]] const ListedClaim *claimOn(const EndpointId &id) const;
    /// The stop notice that stands for this endpoint, or null.
    [[nodiscard]] const StopNotice *stopOf(const EndpointId &id) const;
    /// Whether the endpoint was listed once and is not any more.
    [[nodiscard]] bool withdrew(const EndpointId &id) const { return withdrawn.contains(id); }
    /// Whether the endpoint's loss waits for confirmation.
    [[nodiscard]] bool holdsLossOf(const EndpointId &id) const { return heldLosses.contains(id); }
    [[nodiscard]] std::size_t heldLossCount() const { return heldLosses.size(); }
    /// When the loss that waits longest was first reported; empty: none waits.
    [[nodiscard]] std::optional<TimePoint> oldestHeldLoss() const;

    /// Drops stop notices and withdrawals of endpoints that `keep` does not contain.
    void forgetAllBut(const std::set<EndpointId> &keep);
    [[nodiscard]] SavedSource save(const std::string &name) const;
    /// Takes over what a process before this one saved: stale from the moment it was reported.
    void restore(const SavedSource &saved);

  private:
    void applyClaim(TimePoint at, const Claim &claim, bool firstReading);
    void applyStop(TimePoint at, const Claim &claim);
    void applyActive(TimePoint at, const Claim &claim, bool firstReading);
    [[nodiscard]] std::vector<EndpointId> missingFrom(const Reading &reading) const;
    [[nodiscard]] bool needsConfirmation(const Reading &reading, std::size_t missing,
                                         double confirmShare) const;
    [[nodiscard]] bool holdLoss(const EndpointId &id, TimePoint at, Duration confirmAfter);
    void withdraw(const EndpointId &id, TimePoint at);

    bool read = false;
    TimePoint lastReadAt{};
    TimePoint lifetimeEnd{};
    std::string believedReporter;
    std::string lastFault;
    std::map<EndpointId, ListedClaim> listed;
    std::map<EndpointId, StopNotice> stops;
    std::map<EndpointId, TimePoint> withdrawn;
    std::map<EndpointId, TimePoint> heldLosses;  // since when each is missing
};

}  // namespace deckcart::membership
