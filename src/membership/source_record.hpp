// The state of one source: how fresh its last reading is, which endpoints it lists, which losses
// wait for confirmation, and which endpoints it withdrew or reported as stopping. Used by the
// merge; pure.
#pragma once

#include <map>
#include <optional>
#include <utility>

#include "merge_rules.hpp"
#include "reading.hpp"

namespace deckcart::membership {

/// never: not read yet. stale: the lifetime of the last reading is over. failed: it has been over
/// for longer than MergeRules::maxStaleness.
enum class SourceState { never, fresh, stale, failed };
/// The name of the state in the gateway's API and logs.
[[nodiscard]] const char *nameOf(SourceState state);

/// The state of one source that is persisted across restarts. Points in time are on the merge's
/// clock.
struct SavedSource {
    std::string name;
    /// Reporter of the last reading that was believed.
    std::string reporter;
    /// Time of the last reading.
    TimePoint readAt{};
    Duration lifetime{};
    /// Each claim, with the time since which it has been listed as active without interruption.
    std::vector<std::pair<Claim, TimePoint>> listed;
    /// Stop notices: draining or removed, and since when.
    std::map<EndpointId, std::pair<EndpointState, TimePoint>> stopNotices;
    /// Endpoints that were listed before and have since been left out, with the time of that.
    std::map<EndpointId, TimePoint> withdrawn;
};

/// A claim that its source lists now.
struct ListedClaim {
    Claim claim;
    /// Time since which it has been listed as active without interruption.
    TimePoint since{};

    [[nodiscard]] bool active() const { return claim.entry.state == EndpointState::active; }
};

/// A source's report that an endpoint is draining or removed.
struct StopNotice {
    EndpointState state = EndpointState::draining;
    TimePoint since{};
};

/// One source of the endpoint list, as of its reports so far.
class SourceRecord {
  public:
    /// Applies a complete list; ignored if it is older than the last reading (row 14).
    void applyReading(const Reading &reading, const MergeRules &rules);
    /// Applies changes to the last reading; ignored if there is none or if they are older than it.
    void applyChanges(TimePoint at, const std::vector<Claim> &claims);
    /// The source can't be read: its last reading becomes stale at `at` at the latest.
    void markUnavailable(TimePoint at, const std::string &why);
    /// Records that a single attempt to read the source failed; its last reading is not affected.
    void recordFailedAttempt(const std::string &why) { lastFault = why; }

    [[nodiscard]] SourceState stateAt(TimePoint now, Duration maxStaleness) const;
    /// When the source will count as failed, unless it is read again.
    [[nodiscard]] TimePoint failsAt(Duration maxStaleness) const;
    [[nodiscard]] bool everRead() const { return hasReading; }
    [[nodiscard]] TimePoint readAt() const { return lastReadAt; }
    /// The end of the last reading's lifetime.
    [[nodiscard]] TimePoint freshUntil() const { return lifetimeEnd; }
    /// Reporter of the last reading that was believed.
    [[nodiscard]] const std::string &reporter() const { return believedReporter; }
    /// Why the source could not be read last; empty if it could.
    [[nodiscard]] const std::string &fault() const { return lastFault; }

    [[nodiscard]] const std::map<EndpointId, ListedClaim> &listedClaims() const { return listed; }
    [[nodiscard]] const std::map<EndpointId, StopNotice> &stopNotices() const { return stops; }
    /// The claim on this endpoint, or null.
    [[nodiscard]] const ListedClaim *claimOn(const EndpointId &id) const;
    /// The stop notice for this endpoint, or null.
    [[nodiscard]] const StopNotice *stopOf(const EndpointId &id) const;
    /// Whether the source listed the endpoint before and has since left it out.
    [[nodiscard]] bool withdrew(const EndpointId &id) const { return withdrawn.contains(id); }
    /// Whether the endpoint's loss waits for confirmation.
    [[nodiscard]] bool holdsLossOf(const EndpointId &id) const { return heldLosses.contains(id); }
    [[nodiscard]] std::size_t heldLossCount() const { return heldLosses.size(); }
    /// When the oldest held loss was first reported; empty: no loss is held.
    [[nodiscard]] std::optional<TimePoint> oldestHeldLoss() const;

    /// Drops stop notices and withdrawals of endpoints that are not in `keep`.
    void forgetAllExcept(const std::set<EndpointId> &keep);
    [[nodiscard]] SavedSource save(const std::string &name) const;
    /// Restores what an earlier process saved; the reading counts as stale from the time it was
    /// taken.
    void restore(const SavedSource &saved);

  private:
    void applyClaim(TimePoint at, const Claim &claim, bool firstReading);
    void applyStop(TimePoint at, const Claim &claim);
    void applyActive(TimePoint at, const Claim &claim, bool firstReading);
    [[nodiscard]] std::vector<EndpointId> missingFrom(const Reading &reading) const;
    [[nodiscard]] bool needsConfirmation(const Reading &reading, std::size_t missing,
                                         double confirmFraction) const;
    [[nodiscard]] bool holdLoss(const EndpointId &id, TimePoint at, Duration confirmAfter);
    void withdraw(const EndpointId &id, TimePoint at);

    bool hasReading = false;
    TimePoint lastReadAt{};
    TimePoint lifetimeEnd{};
    std::string believedReporter;
    std::string lastFault;
    std::map<EndpointId, ListedClaim> listed;
    std::map<EndpointId, StopNotice> stops;
    std::map<EndpointId, TimePoint> withdrawn;
    std::map<EndpointId, TimePoint> heldLosses;  // when each was first reported missing
};

}  // namespace deckcart::membership
