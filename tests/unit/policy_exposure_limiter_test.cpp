// The limit on attempts at an unreleased build.
#include <gtest/gtest.h>

#include "../../src/policy/exposure_limiter.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

struct ExposureLimiterTest : testing::Test {
    static PolicySettings make(bool perRoute) {
        PolicySettings settings;
        settings.routes.resize(2);
        settings.exposurePerRoute = perRoute;
        settings.exposureAllowance = 1;
        settings.exposureWindow = 4s;
        return settings;
    }
    void accept(int requests) {
        for (int request = 0; request < requests; ++request)
            limiter.requestAccepted(request % 2, 100s);
    }
    PolicySettings settings = make(false);
    ExposureLimiter limiter{settings};
};

TEST_F(ExposureLimiterTest, TheAllowanceAndAShareOfTheAcceptedRequestsMayGo) {
    EXPECT_TRUE(limiter.withinLimit(2, 0, 0.1, 100s));
    EXPECT_FALSE(limiter.withinLimit(2, 0, 0, 100s));
    limiter.attemptSent(2, 0, 100s);
    EXPECT_FALSE(limiter.withinLimit(2, 0, 0.1, 100s));
    accept(10);
    EXPECT_TRUE(limiter.withinLimit(2, 0, 0.1, 100s));
    EXPECT_TRUE(limiter.withinLimit(3, 1, 0.1, 100s)) << "another build";
}

TEST_F(ExposureLimiterTest, AttemptsCountLongerThanAcceptedRequests) {
    limiter.attemptSent(2, 0, 100s);
    accept(10);
    EXPECT_TRUE(limiter.withinLimit(2, 0, 0.1, 103'979ms));
    EXPECT_FALSE(limiter.withinLimit(2, 0, 0.1, 103'980ms));
    EXPECT_FALSE(limiter.withinLimit(2, 0, 0.1, 104'019ms));
    EXPECT_TRUE(limiter.withinLimit(2, 0, 0.1, 104'020ms));
}

TEST_F(ExposureLimiterTest, RoutesAreCountedApartWhereTheRuleIsByRoute) {
    const PolicySettings byRoute = make(true);
    ExposureLimiter apart(byRoute);
    apart.attemptSent(2, 0, 100s);
    EXPECT_FALSE(apart.withinLimit(2, 0, 0.1, 100s));
    EXPECT_TRUE(apart.withinLimit(2, 1, 0.1, 100s));
}

TEST_F(ExposureLimiterTest, UseIsHeldAgainstAShare) {
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
