// Warm-up fractions and send budgets of endpoints that have just started.
#include <gtest/gtest.h>

#include "../../src/policy/slow_start.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

struct SlowStartTest : testing::Test {
    SlowStartTest() {
        settings.warmUpTime = 4s;
        settings.initialCapacity = 0.2;
        settings.overloadMultiple = 2;
        settings.overloadWindow = 2s;
    }
    PolicySettings settings;
    SlowStart slowStart{settings};
};

TEST_F(SlowStartTest, CapacityGrowsLinearlyToOne) {
    EXPECT_DOUBLE_EQ(slowStart.warmUpFraction(0s), 0.2);
    EXPECT_DOUBLE_EQ(slowStart.warmUpFraction(2s), 0.6);
    EXPECT_EQ(slowStart.warmUpFraction(4s), 1);
    settings.warmUpTime = 0s;
    EXPECT_EQ(slowStart.warmUpFraction(0s), 1);
}

TEST_F(SlowStartTest, AnEndpointCountsAsWarmingUpForASecondMore) {
    EXPECT_TRUE(slowStart.warmingUp(4999ms));
    EXPECT_FALSE(slowStart.warmingUp(5s));
}

TEST_F(SlowStartTest, EvidenceWaitsForTheWarmUpButNoLongerThanFiveSeconds) {
    EXPECT_EQ(slowStart.evidenceAge(), 5s);
    settings.warmUpTime = 1s;
    EXPECT_EQ(slowStart.evidenceAge(), 2s);
    settings.warmUpTime = 20s;
    EXPECT_EQ(slowStart.evidenceAge(), 5s);
}

TEST_F(SlowStartTest, TheBudgetFollowsTheResponsesOfAWarmEndpoint) {
    SlowStartBudget budget;
    // 2 x 0.5 x 0.6 x 1 x 5 = 3 requests within the window.
    budget.sends = {100s, 100s};
    EXPECT_TRUE(slowStart.withinBudget(budget, 2s, 5.001, 100s));
    budget.sends = {100s, 100s, 100s};
    EXPECT_FALSE(slowStart.withinBudget(budget, 2s, 5.001, 100s));
    EXPECT_TRUE(slowStart.withinBudget(budget, 5s, 5.001, 100s)) << "warm";
    EXPECT_TRUE(slowStart.withinBudget(budget, 2s, 5.001, 102s)) << "the window has passed";
    EXPECT_TRUE(budget.sends.empty());
}

TEST_F(SlowStartTest, TheBudgetIsRoundedByTheRandomOffset) {
    SlowStartBudget budget;
    EXPECT_FALSE(slowStart.withinBudget(budget, 2s, 1, 100s));
    budget.roundingChance = 0.5;
    EXPECT_TRUE(slowStart.withinBudget(budget, 2s, 1, 100s));
}

}  // namespace
}  // namespace deckcart::policy
