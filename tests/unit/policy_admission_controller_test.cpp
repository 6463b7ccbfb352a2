// Load shedding by throughput, tenant quota and the outcomes of a tenant's recent requests.
#include <gtest/gtest.h>

#include "../../src/policy/admission_controller.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

struct AdmissionTest : testing::Test {
    static PolicySettings makeSettings() {
        PolicySettings settings;
        settings.tenantQuotas = {0.5, 0.5};
        settings.overloadWindow = 2s;
        return settings;
    }
    void recordHundredAnswers() {
        for (int answer = 0; answer < 100; ++answer)
            admission.attemptAnswered(100s);
    }
    int shedOf100(int tenant, double inFlight) {
        int shed = 0;
        for (int request = 0; request < 100; ++request)
            shed +=
                admission.shouldShed(tenant, 0.1, 400ms, {inFlight, inFlight * 0.1}, random, 100s);
        return shed;
    }
    PolicySettings settings = makeSettings();
    AdmissionController admission{settings};
    RandomSource random{1};
};

TEST_F(AdmissionTest, NothingIsShedWhileThroughputSuffices) {
    recordHundredAnswers();
    EXPECT_EQ(shedOf100(0, 10), 0);
    EXPECT_FALSE(admission.shedRecently(100s));
}

TEST_F(AdmissionTest, MoreInFlightThanCanBeAnsweredInTimeIsShed) {
    recordHundredAnswers();
    const int some = shedOf100(0, 30);
    EXPECT_GT(some, 0);
    EXPECT_LT(some, 100);
    EXPECT_EQ(shedOf100(0, 60), 100);
    EXPECT_TRUE(admission.shedRecently(104s));
    EXPECT_FALSE(admission.shedRecently(105s));
}

TEST_F(AdmissionTest, ATenantOverItsQuotaIsShedFirst) {
    recordHundredAnswers();
    for (int request = 0; request < 10; ++request)
        admission.requestArrived(request < 8 ? 0 : 1, 100s);
    EXPECT_GT(shedOf100(0, 20), 0);
    EXPECT_EQ(shedOf100(1, 20), 0);
    admission.expire(102s);
    EXPECT_EQ(shedOf100(0, 20), 0);
}

TEST_F(AdmissionTest, ManyGatewaysThrottleATenantWhoseRequestsDontEndInTime) {
    for (int request = 0; request < 50; ++request)
        admission.requestFinished(0, false, 100s);
    EXPECT_EQ(shedOf100(0, 1), 0) << "a single gateway uses its throughput instead";
    settings.gateways = 16;
    for (int request = 0; request < 50; ++request)
        admission.requestFinished(0, false, 100s);
    EXPECT_GT(shedOf100(0, 1), 50);
    EXPECT_EQ(shedOf100(1, 1), 0);
}

TEST_F(AdmissionTest, TheRetryDelayIsLimitedByWhatClientsSupport) {
    settings.maxRetryAfter = 1s;
    EXPECT_EQ(admission.retryAfter(), 0s);
    settings.retryAfterSupported = true;
    EXPECT_EQ(admission.retryAfter(), 250ms);
    settings.maxRetryAfter = 100ms;
    EXPECT_EQ(admission.retryAfter(), 100ms);
}

}  // namespace
}  // namespace deckcart::policy
