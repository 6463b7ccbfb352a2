// The vote of a gateway on the rollout: the desired verdict, the acknowledged one, and when to send
// it again.
#pragma once

#include <deckcart/policy.hpp>
#include <optional>
#include <string>

#include "rollout_tracker.hpp"

namespace deckcart::policy {

class VoteSchedule {
  public:
    explicit VoteSchedule(const PolicySettings &policySettings) : settings(policySettings) {}

    /// Sets the desired verdict; a change is sent at once. `reasonText` is for the log.
    void setDesired(Verdict verdict, const std::string &reasonText, TimePoint now);
    Verdict desired() const { return desiredVerdict; }
    /// Handles the reply to a vote.
    void replied(Outcome outcome, TimePoint now);
    /// Starts a new stage, in which no vote has been acknowledged.
    void restart(Verdict verdict, TimePoint now);

    /// Returns the vote to send now, if any, and marks it as sent.
    [[nodiscard]] std::optional<Vote> next(const RolloutTracker &rollout, TimePoint now);
    /// Whether the last vote sent was one to roll back and not the renewal of an acknowledged one.
    /// Also true for each repetition of a vote that was lost or rejected.
    bool startsRollBack() const { return isNewRollBack; }
    const std::string &reason() const { return desiredReason; }

  private:
    bool due(const RolloutTracker &rollout, TimePoint now) const;
    Duration renewalInterval() const { return settings.voteLifetime * 6 / 10; }

    const PolicySettings &settings;
    Verdict desiredVerdict = Verdict::none;
    std::string desiredReason;
    Verdict acknowledged = Verdict::none;
    Verdict lastSent = Verdict::none;
    bool replyPending = false;
    bool isNewRollBack = false;
    TimePoint dueAt{};
    TimePoint sentAt{};
};

}  // namespace deckcart::policy
