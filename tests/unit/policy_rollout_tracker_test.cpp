// Stages of the rollout, traffic split and votes.
#include <gtest/gtest.h>

#include "../../src/policy/rollout_tracker.hpp"
#include "../../src/policy/traffic_splitter.hpp"
#include "../../src/policy/vote_schedule.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

struct RolloutTest : testing::Test {
    RolloutTest() {
        settings.exposureLimits = {0.1, 0.4, 1};
        settings.stageShares = {0.2, 0.5, 1};
        settings.voteLifetime = 10s;
        settings.voteTimeout = 1s;
    }
    RolloutChange update(BuildNumber build, int step, RolloutPhase phase, double limit,
                         TimePoint now = 100s) {
        return rollout.update({false, Outcome::ok, build, step, phase, limit, 0s}, now);
    }
    PolicySettings settings;
    RolloutTracker rollout{settings};
};

TEST_F(RolloutTest, WithoutAnUpdateEveryBuildAboveTheOldestIsACanary) {
    EXPECT_FALSE(rollout.isCanary(1));
    rollout.setOldestActive(1);
    EXPECT_FALSE(rollout.isCanary(1));
    EXPECT_TRUE(rollout.isCanary(2));
    EXPECT_EQ(rollout.exposureLimit(2), 0.1);
}

TEST_F(RolloutTest, AnOutdatedUpdateChangesNoStageButTheStricterLimitApplies) {
    EXPECT_EQ(update(2, 1, RolloutPhase::canary, 0.4), RolloutChange::build);
    EXPECT_EQ(update(2, 0, RolloutPhase::canary, 0.1, 101s), RolloutChange::none);
    EXPECT_EQ(rollout.current().step, 1);
    EXPECT_EQ(rollout.exposureLimit(2), 0.1);
    EXPECT_EQ(rollout.step(2), 0);
    EXPECT_EQ(update(2, 0, RolloutPhase::canary, 0.1, 108s), RolloutChange::stage);
    EXPECT_EQ(rollout.current().step, 0);
}

TEST_F(RolloutTest, UpdatesOfAnOlderBuildAreIgnored) {
    EXPECT_EQ(update(2, 0, RolloutPhase::canary, 0.1), RolloutChange::build);
    EXPECT_EQ(update(1, 2, RolloutPhase::released, 1), RolloutChange::none);
    EXPECT_EQ(rollout.current().build, 2);
}

TEST_F(RolloutTest, AReleasedBuildIsLimitedWhileTheLatestUpdateIsACanary) {
    EXPECT_EQ(update(2, 2, RolloutPhase::released, 1), RolloutChange::build);
    EXPECT_FALSE(rollout.limited(2));
    EXPECT_EQ(update(2, 2, RolloutPhase::canary, 1, 101s), RolloutChange::none);
    EXPECT_TRUE(rollout.limited(2));
}

TEST_F(RolloutTest, ARollBackIsRecorded) {
    EXPECT_EQ(update(2, 0, RolloutPhase::canary, 0.1), RolloutChange::build);
    EXPECT_EQ(rollout.rolledBackBuild(), 0);
    EXPECT_EQ(update(2, 0, RolloutPhase::rollingBack, 0), RolloutChange::stage);
    EXPECT_EQ(rollout.rolledBackBuild(), 2);
    EXPECT_FALSE(rollout.underAnalysis());
}

TEST_F(RolloutTest, TheClockStartsWithTheLastEndpointOfTheStage) {
    EXPECT_EQ(update(2, 0, RolloutPhase::canary, 0.1), RolloutChange::build);
    FleetSummary fleet{.rolloutEndpoints = 1, .targetEndpoints = 10, .latestRolloutStart = 103s};
    EXPECT_FALSE(rollout.stageClockStart(fleet, 104s));
    EXPECT_EQ(rollout.stageClockStart(fleet, 109s), TimePoint{108s}) << "endpoints stay missing";
    fleet.rolloutEndpoints = 2;
    EXPECT_EQ(rollout.stageClockStart(fleet, 104s), TimePoint{104s});
}

TEST_F(RolloutTest, ShorterStagesScaleTheWaitsDown) {
    EXPECT_EQ(rollout.scaledToStage(3s), 3s);
    settings.minStageDuration = 500ms;
    EXPECT_EQ(rollout.scaledToStage(3s), 1s);
}

TEST_F(RolloutTest, TheCanarysShareFollowsItsWarmCapacity) {
    EXPECT_EQ(update(2, 0, RolloutPhase::canary, 0.1), RolloutChange::build);
    FleetSummary fleet{.rolloutCapacity = 1, .otherCapacity = 19, .targetEndpoints = 10};
    EXPECT_DOUBLE_EQ(canaryShare(rollout, fleet, false), 0.7 * 0.1 * 0.5);
    fleet.rolloutCapacity = 2;
    EXPECT_DOUBLE_EQ(canaryShare(rollout, fleet, false), 0.7 * 0.1);
    fleet.otherCapacity = 98;
    EXPECT_DOUBLE_EQ(canaryShare(rollout, fleet, true), 0.02);
}

TEST_F(RolloutTest, BuildsAreTriedFromTheBaselineDownUnlessTheCanaryIsFirst) {
    EXPECT_EQ(update(3, 0, RolloutPhase::canary, 0.1), RolloutChange::build);
    const EndpointsByBuild builds{{1, {}}, {2, {}}, {3, {}}};
    EXPECT_EQ(baselineBuild(builds, rollout), 2);
    EXPECT_EQ(buildOrder(builds, rollout, true), (std::vector<BuildNumber>{3, 2, 1}));
    EXPECT_EQ(buildOrder(builds, rollout, false), (std::vector<BuildNumber>{2, 3, 1}));
    EXPECT_EQ(update(3, 0, RolloutPhase::rolledBack, 0), RolloutChange::stage);
    EXPECT_EQ(buildOrder(builds, rollout, false), (std::vector<BuildNumber>{2, 1}));
}

TEST(PolicySplitter, TheStickyHashSpreadsKeysAndDiffersByBuild) {
    int low = 0;
    for (int key = 0; key < 1000; ++key)
        low += stickyHash(std::to_string(key), 2) < 0.2;
    EXPECT_NEAR(low, 200, 50);
    EXPECT_EQ(stickyHash("key", 2), stickyHash("key", 2));
    EXPECT_NE(stickyHash("key", 2), stickyHash("key", 3));
}

TEST_F(RolloutTest, AVoteIsSentAtOnceRenewedAndRepeatedAfterAFailure) {
    VoteSchedule votes(settings);
    EXPECT_EQ(update(2, 1, RolloutPhase::canary, 0.4), RolloutChange::build);
    EXPECT_FALSE(votes.next(rollout, 100s));
    votes.setDesired(Verdict::promote, "healthy", 100s);
    const auto vote = votes.next(rollout, 100s);
    ASSERT_TRUE(vote);
    EXPECT_EQ(vote->verdict, Verdict::promote);
    EXPECT_EQ(vote->step, 1);
    votes.replied(Outcome::overloaded, 100s);
    EXPECT_FALSE(votes.next(rollout, 100'249ms));
    EXPECT_TRUE(votes.next(rollout, 100'250ms));
    votes.replied(Outcome::ok, 101s);
    EXPECT_FALSE(votes.next(rollout, 106'999ms));
    EXPECT_TRUE(votes.next(rollout, 107s));
}

TEST_F(RolloutTest, AReleasedBuildIsVotedOnOnlyToRollItBack) {
    VoteSchedule votes(settings);
    EXPECT_EQ(update(2, 2, RolloutPhase::released, 1), RolloutChange::build);
    votes.setDesired(Verdict::promote, "healthy", 100s);
    EXPECT_FALSE(votes.next(rollout, 100s));
    votes.setDesired(Verdict::rollBack, "failures", 100s);
    EXPECT_TRUE(votes.next(rollout, 100s));
    EXPECT_TRUE(votes.startsRollBack());
    EXPECT_EQ(votes.reason(), "failures");
}

}  // namespace
}  // namespace deckcart::policy
