// When a turn of the loop counts as late, what the policy's time is then, and what is deferred.
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
    // Passes of the loop until it counts as quiet, at most as many as given.
    int roundsUntilQuiet(int most, bool eventEachRound) {
        for (int round = 1; round <= most; ++round) {
            detector.beginRound();
            if (eventEachRound)
                detector.countSocketEvent();
            if (detector.finishRound())
                return round;
        }
        return most + 1;
    }
    StallDetector detector{kStart};
};

TEST_F(StallDetectorTest, ATurnAtTheThresholdIsNoStall) {
    EXPECT_FALSE(detector.observe(kStart + kThreshold, kThreshold));
    EXPECT_FALSE(detector.isStalled());
    EXPECT_EQ(detector.policyTime(), kStart + kThreshold);
}

TEST_F(StallDetectorTest, ALaterTurnIsOneAndThePolicysTimeStaysAtTheTurnBefore) {
    ASSERT_FALSE(detector.observe(kStart + 100ms, kThreshold));
    EXPECT_EQ(detector.observe(kStart + 500ms, kThreshold), std::optional<Duration>(400ms));
    EXPECT_TRUE(detector.isStalled());
    EXPECT_EQ(detector.policyTime(), kStart + 100ms);
    EXPECT_EQ(detector.lastTurn(), kStart + 500ms);
}

TEST_F(StallDetectorTest, AStallIsReportedOnce) {
    stall();
    EXPECT_FALSE(detector.observe(kStart + 5s, kThreshold)) << "the same one is being handled";
    EXPECT_EQ(detector.policyTime(), kStart);
    for (const auto &callback : detector.resume(kStart + 5s))
        callback();
    EXPECT_EQ(detector.policyTime(), kStart + 5s);
    EXPECT_TRUE(detector.observe(kStart + 6s, kThreshold)) << "the next one";
}

TEST_F(StallDetectorTest, AClockThatGoesBackIsNoStallAndMovesNothing) {
    EXPECT_FALSE(detector.observe(kStart - 5s, kThreshold));
    EXPECT_EQ(detector.lastTurn(), kStart);
}

TEST_F(StallDetectorTest, CallbacksRunAtOnceOrInOrderAfterTheStall) {
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
    EXPECT_TRUE(detector.resume(kStart + 2s).empty()) << "each runs once";
}

TEST_F(StallDetectorTest, TheLoopIsQuietAfterAPassWithoutEvents) {
    stall();
    EXPECT_EQ(roundsUntilQuiet(10, false), 3) << "two are always made before one counts";
}

TEST_F(StallDetectorTest, EventsKeepTheStallGoing) {
    stall();
    EXPECT_EQ(roundsUntilQuiet(20, true), 21);
    EXPECT_EQ(roundsUntilQuiet(1, false), 1);
}

TEST_F(StallDetectorTest, SocketsThatAreNeverQuietEndItInBoundedTime) {
    stall();
    EXPECT_EQ(roundsUntilQuiet(1000, true), 201);
    (void)detector.resume(kStart + 1s);
    ASSERT_TRUE(detector.observe(kStart + 2s, kThreshold));
    EXPECT_EQ(roundsUntilQuiet(10, false), 3) << "the next stall counts its passes anew";
}

}  // namespace
}  // namespace deckcart
