// Timing of votes: sent at once if the verdict changes, renewed before they lapse, repeated after a
// failure.
#include "vote_schedule.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

// Retry delay after an obsolete vote: the stage has ended or just begun, and its update is about to
// arrive.
constexpr Duration kObsoleteRetry = 1s;
// Retry delay after a rejected or lost vote.
constexpr Duration kFailedRetry = 250ms;

}  // namespace

void VoteSchedule::setDesired(Verdict verdict, const std::string &reasonText, TimePoint now) {
    if (verdict == desiredVerdict)
        return;
    desiredVerdict = verdict;
    desiredReason = reasonText;
    dueAt = now;
}

void VoteSchedule::replied(Outcome outcome, TimePoint now) {
    replyPending = false;
    if (outcome == Outcome::ok) {
        acknowledged = lastSent;
        dueAt = now + renewalInterval();
    } else {
        dueAt = now + (outcome == Outcome::obsolete ? kObsoleteRetry : kFailedRetry);
    }
}

void VoteSchedule::restart(Verdict verdict, TimePoint now) {
    desiredVerdict = verdict;
    acknowledged = Verdict::none;
    dueAt = now;
    replyPending = false;
}

bool VoteSchedule::due(const RolloutTracker &rollout, TimePoint now) const {
    if (now < dueAt || (replyPending && now < sentAt + settings.voteTimeout + kFailedRetry))
        return false;
    if (desiredVerdict == Verdict::none && acknowledged == Verdict::none)
        return false;
    return rollout.inPhase(RolloutPhase::canary) ||
           (rollout.inPhase(RolloutPhase::released) && desiredVerdict == Verdict::rollBack);
}

std::optional<Vote> VoteSchedule::next(const RolloutTracker &rollout, TimePoint now) {
    if (!due(rollout, now))
        return std::nullopt;
    isNewRollBack = desiredVerdict == Verdict::rollBack &&
                    (lastSent != desiredVerdict || acknowledged != desiredVerdict);
    lastSent = desiredVerdict;
    replyPending = true;
    sentAt = now;
    dueAt = now + renewalInterval();
    return Vote{rollout.current().build, rollout.current().step, desiredVerdict};
}

}  // namespace deckcart::policy
