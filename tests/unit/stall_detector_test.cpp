// Tests when a tick of the event loop counts as a stall, what the policy's time is during the
// stall, and which callbacks are deferred.
#include "../../src/gateway/stall_detector.hpp"

#include <gtest/gtest.h>

namespace deckcart {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart = 10s;
constexpr Duration kThreshold = 200ms;

class StallDetectorTest : public testing::Test {
  protected:
    void stall() { ASSERT_TRUE(detector.observe(kStart + 1s, kThreshold)); }
    // Number of passes until the loop counts as quiet; `maxPasses` + 1 if it never does.
    int passesUntilQuiet(int maxPasses, bool eventEachPass) {
        for (int pass = 1; pass <= maxPasses; ++pass) {
            detector.beginPass();
            if (eventEachPass)
                detector.countSocketEvent();
            if (detector.finishPass())
                return pass;
        }
        return maxPasses + 1;
    }
    StallDetector detector{kStart};
};

TEST_F(StallDetectorTest, GapEqualToTheThresholdIsNoStall) {
    EXPECT_FALSE(detector.observe(kStart + kThreshold, kThreshold));
    EXPECT_FALSE(detector.isStalled());
    EXPECT_EQ(detector.policyTime(), kStart + kThreshold);
}

TEST_F(StallDetectorTest, PolicyTimeStaysAtTheTickBeforeTheStall) {
    ASSERT_FALSE(detector.observe(kStart + 100ms, kThreshold));
    EXPECT_EQ(detector.observe(kStart + 500ms, kThreshold), std::optional<Duration>(400ms));
    EXPECT_TRUE(detector.isStalled());
    EXPECT_EQ(detector.policyTime(), kStart + 100ms);
    EXPECT_EQ(detector.lastTick(), kStart + 500ms);
}

TEST_F(StallDetectorTest, StallIsReportedOnce) {
    stall();
    EXPECT_FALSE(detector.observe(kStart + 5s, kThreshold))
        << "the same stall is still being handled";
    EXPECT_EQ(detector.policyTime(), kStart);
    for (const auto &callback : detector.resume(kStart + 5s))
        callback();
    EXPECT_EQ(detector.policyTime(), kStart + 5s);
    EXPECT_TRUE(detector.observe(kStart + 6s, kThreshold)) << "the next stall";
}

TEST_F(StallDetectorTest, ClockGoingBackwardsIsIgnored) {
    EXPECT_FALSE(detector.observe(kStart - 5s, kThreshold));
    EXPECT_EQ(detector.lastTick(), kStart);
}

TEST_F(StallDetectorTest, CallbacksRunImmediatelyOrInOrderAfterTheStall) {
    std::vector<int> ran;
    detector.runAfterStall([&] { ran.push_back(1); });
    EXPECT_EQ(ran, std::vector<int>{1});
    stall();
    detector.runAfterStall([&] { ran.push_back(2); });
    detector.runAfterStall([&] { ran.push_back(3); });
    EXPECT_EQ(ran, std::vector<int>{1});
    for (const auto &callback : detector.resume(kStart + 2s)) {
        EXPECT_FALSE(detector.isStalled());
        callback();
    }
    EXPECT_EQ(ran, (std::vector<int>{1, 2, 3}));
    EXPECT_TRUE(detector.resume(kStart + 2s).empty()) << "each callback runs once";
}

TEST_F(StallDetectorTest, LoopIsQuietAfterAPassWithoutEvents) {
    stall();
    EXPECT_EQ(passesUntilQuiet(10, false), 3) << "the first two passes never count as quiet";
}

TEST_F(StallDetectorTest, EventsProlongTheStall) {
    stall();
    EXPECT_EQ(passesUntilQuiet(20, true), 21);
    EXPECT_EQ(passesUntilQuiet(1, false), 1);
}

TEST_F(StallDetectorTest, StallEndsInBoundedTimeIfSocketsNeverGoQuiet) {
    stall();
    EXPECT_EQ(passesUntilQuiet(1000, true), 201);
    (void)detector.resume(kStart + 1s);
    ASSERT_TRUE(detector.observe(kStart + 2s, kThreshold));
    EXPECT_EQ(passesUntilQuiet(10, false), 3) << "the pass count restarts with each stall";
}

}  // namespace
}  // namespace deckcart
