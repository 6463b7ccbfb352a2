// The vote of a gateway on the rollout: what it wants, what was acknowledged, and when to send it
// again.
#pragma once

#include <deckcart/policy.hpp>
#include <optional>
#include <string>

#include "rollout_tracker.hpp"

namespace deckcart::policy {

class VoteSchedule {
  public:
    explicit VoteSchedule(const PolicySettings &policySettings) : settings(policySettings) {}

    /// A changed verdict is sent at once; `grounds` tell why, for the log.
    void want(Verdict verdict, const std::string &grounds, TimePoint now);
    Verdict wanted() const { return verdictWanted; }
    /// A vote was answered.
    void replied(Outcome outcome, TimePoint now);
    /// A stage has begun: no vote stands.
    void restart(Verdict verdict, TimePoint now);

    /// The vote to send now, if any. It counts as sent.
    [[nodiscard]] std::optional<Vote> next(const RolloutTracker &rollout, TimePoint now);
    /// Whether the vote just sent is a new one to roll back.
    bool rollsBackAnew() const { return newRollBack; }
    const std::string &reason() const { return reasonWanted; }

  private:
    bool due(const RolloutTracker &rollout, TimePoint now) const;
    Duration renewAfter() const { return settings.voteLifetime * 6 / 10; }

    const PolicySettings &settings;
    Verdict verdictWanted = Verdict::none;
    std::string reasonWanted;
    Verdict acknowledged = Verdict::none;
    Verdict lastSent = Verdict::none;
    bool replyPending = false;
    bool newRollBack = false;
    TimePoint dueAt{};
    TimePoint sentAt{};
};

}  // namespace deckcart::policy
