// When votes are sent: at once if the verdict changes, renewed before they lapse, again after a
// failure.
#include "vote_schedule.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

// The stage has passed or is young: its update is on its way.
constexpr Duration kObsoleteRetry = 1s;
// The vote was rejected or lost.
constexpr Duration kFailedRetry = 250ms;

}  // namespace

void VoteSchedule::want(Verdict verdict, const std::string &grounds, TimePoint now) {
    if (verdict == verdictWanted)
        return;
    verdictWanted = verdict;
    reasonWanted = grounds;
    dueAt = now;
}

void VoteSchedule::replied(Outcome outcome, TimePoint now) {
    replyPending = false;
    if (outcome == Outcome::ok) {
        acknowledged = lastSent;
        dueAt = now + renewAfter();
    } else {
        dueAt = now + (outcome == Outcome::obsolete ? kObsoleteRetry : kFailedRetry);
    }
}

void VoteSchedule::restart(Verdict verdict, TimePoint now) {
    verdictWanted = verdict;
    acknowledged = Verdict::none;
    dueAt = now;
    replyPending = false;
}

bool VoteSchedule::due(const RolloutTracker &rollout, TimePoint now) const {
    if (now < dueAt || (replyPending && now < sentAt + settings.voteTimeout + kFailedRetry))
        return false;
    if (verdictWanted == Verdict::none && acknowledged == Verdict::none)
        return false;
    return rollout.inPhase(RolloutPhase::canary) ||
           (rollout.inPhase(RolloutPhase::released) && verdictWanted == Verdict::rollBack);
}

std::optional<Vote> VoteSchedule::next(const RolloutTracker &rollout, TimePoint now) {
    if (!due(rollout, now))
        return std::nullopt;
    newRollBack = verdictWanted == Verdict::rollBack &&
                  (lastSent != verdictWanted || acknowledged != verdictWanted);
    lastSent = verdictWanted;
    replyPending = true;
    sentAt = now;
    dueAt = now + renewAfter();
    return Vote{rollout.current().build, rollout.current().step, verdictWanted};
}

}  // namespace deckcart::policy
