// Exposure limit on attempts at unreleased builds.
#include <gtest/gtest.h>

#include "../../src/policy/exposure_limiter.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

struct ExposureLimiterTest : testing::Test {
    static PolicySettings makeSettings(bool perRoute) {
        PolicySettings settings;
        settings.routes.resize(2);
        settings.exposurePerRoute = perRoute;
        settings.exposureAllowance = 1;
        settings.exposureWindow = 4s;
        return settings;
    }
    void accept(int requests) {
        for (int request = 0; request < requests; ++request)
            limiter.requestArrived(request % 2, 100s);
    }
    PolicySettings settings = makeSettings(false);
    ExposureLimiter limiter{settings};
};

TEST_F(ExposureLimiterTest, AttemptsAreLimitedToTheAllowanceAndAShareOfReceivedRequests) {
    EXPECT_TRUE(limiter.withinLimit(2, 0, 0.1, 100s));
    EXPECT_FALSE(limiter.withinLimit(2, 0, 0, 100s));
    limiter.attemptSent(2, 0, 100s);
    EXPECT_FALSE(limiter.withinLimit(2, 0, 0.1, 100s));
    accept(10);
    EXPECT_TRUE(limiter.withinLimit(2, 0, 0.1, 100s));
    EXPECT_TRUE(limiter.withinLimit(3, 1, 0.1, 100s)) << "another build";
}

TEST_F(ExposureLimiterTest, AttemptsCountLongerThanReceivedRequests) {
    limiter.attemptSent(2, 0, 100s);
    accept(10);
    EXPECT_TRUE(limiter.withinLimit(2, 0, 0.1, 103'979ms));
    EXPECT_FALSE(limiter.withinLimit(2, 0, 0.1, 103'980ms));
    EXPECT_FALSE(limiter.withinLimit(2, 0, 0.1, 104'019ms));
    EXPECT_TRUE(limiter.withinLimit(2, 0, 0.1, 104'020ms));
}

TEST_F(ExposureLimiterTest, RoutesAreCountedSeparatelyIfTheLimitIsPerRoute) {
    const PolicySettings perRouteSettings = makeSettings(true);
    ExposureLimiter perRouteLimiter(perRouteSettings);
    perRouteLimiter.attemptSent(2, 0, 100s);
    EXPECT_FALSE(perRouteLimiter.withinLimit(2, 0, 0.1, 100s));
    EXPECT_TRUE(perRouteLimiter.withinLimit(2, 1, 0.1, 100s));
}

TEST_F(ExposureLimiterTest, UsageIsComparedWithAShare) {
    EXPECT_TRUE(limiter.usesLessThan(0.5, 2, 0));
    limiter.attemptSent(2, 0, 100s);
    accept(2);
    EXPECT_FALSE(limiter.usesLessThan(0.5, 2, 0));
    EXPECT_TRUE(limiter.usesLessThan(0.6, 2, 0));
    limiter.expire(110s);
    EXPECT_FALSE(limiter.usesLessThan(0.6, 2, 0));
}

}  // namespace
}  // namespace deckcart::policy
