// Ejection and latency estimate of one endpoint.
#include <gtest/gtest.h>

#include "../../src/policy/outlier_detector.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

TEST(PolicyOutliers, TwoUnansweredInARowEject) {
    EndpointHealth health;
    EXPECT_FALSE(health.recordUnanswered(100s));
    health.responded();
    EXPECT_FALSE(health.recordUnanswered(100s));
    EXPECT_FALSE(health.unresponsive());
    EXPECT_TRUE(health.recordUnanswered(100s));
    EXPECT_TRUE(health.unresponsive());
}

TEST(PolicyOutliers, EjectionsDoubleUntilAnAnswer) {
    EndpointHealth health;
    TimePoint now = 100s;
    for (const Duration expected : {1s, 2s, 4s, 8s, 8s}) {
        health.eject(now);
        EXPECT_TRUE(health.ejected(now + expected - 1us));
        now += expected;
        EXPECT_FALSE(health.ejected(now));
    }
    health.succeeded();
    health.eject(now);
    EXPECT_FALSE(health.ejected(now + 1s));
}

TEST(PolicyOutliers, AnEjectedEndpointIsNotEjectedAgain) {
    EndpointHealth health;
    EXPECT_FALSE(health.recordUnanswered(100s));
    EXPECT_TRUE(health.recordUnanswered(100s));
    health.eject(100s);
    EXPECT_FALSE(health.recordUnanswered(100s));
}

TEST(PolicyOutliers, AtMostTwoFifthsOfABuildButAlwaysOneAreEjected) {
    EXPECT_TRUE(mayEject(0, 1));
    EXPECT_FALSE(mayEject(1, 4));
    EXPECT_TRUE(mayEject(1, 5));
    EXPECT_FALSE(mayEject(2, 5));
}

TEST(PolicyOutliers, SilenceIsMeasuredFromTheStartOfTheAttempt) {
    EndpointHealth health;
    health.setLastResponse(100s);
    EXPECT_FALSE(health.silentSince(100s));
    EXPECT_TRUE(health.silentSince(100s + 1us));
}

TEST(PolicyOutliers, TheLatencyEstimateDecaysToTheUsual) {
    LatencyEstimate latency;
    EXPECT_EQ(latency.current(100s), 1);
    latency.record(5, 100s);
    EXPECT_DOUBLE_EQ(latency.current(100s), 2);
    EXPECT_NEAR(latency.current(104s), 1 + std::exp(-1.0), 1e-12);
    latency.reset();
    EXPECT_EQ(latency.current(100s), 1);
}

}  // namespace
}  // namespace deckcart::policy
