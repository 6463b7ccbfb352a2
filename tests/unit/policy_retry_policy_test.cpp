// Which requests may be repeated, and when a retry is worth sending.
#include <gtest/gtest.h>

#include "../../src/policy/retry_policy.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

struct RetryPolicyTest : testing::Test {
    RetryPolicyTest() {
        settings.routes = {
            {400ms, Idempotency::idempotent, DeduplicationScope::all, {}},
            {400ms, Idempotency::withKey, DeduplicationScope::zone, 5s},
            {400ms, Idempotency::nonIdempotent, DeduplicationScope::all, {}},
            {400ms, Idempotency::withKey, DeduplicationScope::all, 5s},
        };
        settings.maxAttempts = 3;
        settings.maxSendDelay = 100ms;
    }
    Request request(int route, std::optional<Outcome> ended = {}) {
        Request result{{1, "key", route, 0, 102s}, 100s, {}, false, {}, 0};
        if (ended)
            result.attempts.push_back(
                {.endpoint = &endpoint, .sentAt = 100s, .inFlight = false, .outcome = *ended});
        return result;
    }
    PolicySettings settings;
    RetryPolicy retries{settings};
    Endpoint endpoint;
};

TEST_F(RetryPolicyTest, OnlyRequestsWithoutASecondEffectAreRepeated) {
    EXPECT_TRUE(retries.mayRepeat(request(0, Outcome::timeout), 100s));
    EXPECT_FALSE(retries.mayRepeat(request(2, Outcome::timeout), 100s));
    EXPECT_TRUE(retries.mayRepeat(request(2, Outcome::overloaded), 100s));
    EXPECT_TRUE(retries.mayRepeat(request(2), 100s));
}

TEST_F(RetryPolicyTest, TheDeduplicationWindowIncludesTheSendDelay) {
    EXPECT_TRUE(retries.mayRepeat(request(1, Outcome::reset), 104'860ms));
    EXPECT_FALSE(retries.mayRepeat(request(1, Outcome::reset), 104'860ms + 1us));
}

TEST_F(RetryPolicyTest, ARetryStaysWithinTheDeduplicationScope) {
    Endpoint otherZone;
    otherZone.entry.zone = 1;
    EXPECT_TRUE(retries.sharesDeduplication(request(1, Outcome::reset), endpoint));
    EXPECT_FALSE(retries.sharesDeduplication(request(1, Outcome::reset), otherZone));
    EXPECT_TRUE(retries.sharesDeduplication(request(3, Outcome::reset), otherZone));
    EXPECT_TRUE(retries.sharesDeduplication(request(1, Outcome::overloaded), otherZone));
    settings.routes[1].deduplicationScope = DeduplicationScope::cell;
    Endpoint otherCell;
    otherCell.entry.cell = 1;
    EXPECT_FALSE(retries.sharesDeduplication(request(1, Outcome::reset), otherCell));
}

TEST_F(RetryPolicyTest, OneAttemptAtATimeUnlessHedgingIsAllowed) {
    Request running = request(0, Outcome::ok);
    EXPECT_TRUE(retries.mayAttempt(running));
    running.attempts.back().inFlight = true;
    EXPECT_FALSE(retries.mayAttempt(running));
    settings.hedgingAllowed = true;
    EXPECT_TRUE(retries.mayAttempt(running));
    settings.maxAttempts = 1;
    EXPECT_FALSE(retries.mayAttempt(running));
}

TEST_F(RetryPolicyTest, ARequestThatMayHaveRunIsNotShedUnlessARepeatIsSafe) {
    EXPECT_TRUE(retries.mayShed(request(0, Outcome::timeout)));
    EXPECT_FALSE(retries.mayShed(request(1, Outcome::timeout)));
    EXPECT_FALSE(retries.mayShed(request(2, Outcome::timeout)));
    EXPECT_TRUE(retries.mayShed(request(3, Outcome::timeout)));
    EXPECT_TRUE(retries.mayShed(request(2)));
}

TEST_F(RetryPolicyTest, TheBudgetIsTenAndAFifthOfTheRequests) {
    for (int spent = 0; spent < 10; ++spent) {
        EXPECT_TRUE(retries.budgetLeft());
        retries.spendBudget();
    }
    EXPECT_FALSE(retries.budgetLeft());
    for (int received = 0; received < 6; ++received)
        retries.requestArrived();
    EXPECT_TRUE(retries.budgetLeft());
}

TEST_F(RetryPolicyTest, ARequestWaitsWhileItCanBeAnsweredInTime) {
    EXPECT_TRUE(retries.worthWaiting(request(0), 0.1, 100'299ms));
    EXPECT_FALSE(retries.worthWaiting(request(0), 0.1, 100'300ms));
    EXPECT_TRUE(retries.endsWithinObjective(request(0), 0.1, 100'299ms));
    EXPECT_FALSE(retries.endsWithinObjective(request(0), 0.1, 100'300ms));
}

TEST_F(RetryPolicyTest, SilenceStartsAtFourTimesTheUsualLatency) {
    Request running = request(0, Outcome::ok);
    Attempt &attempt = running.attempts.back();
    attempt.inFlight = true;
    EXPECT_FALSE(retries.silentTooLong(attempt, 0.1, 1, 100'399ms));
    EXPECT_TRUE(retries.silentTooLong(attempt, 0.1, 1, 100'400ms));
    EXPECT_FALSE(retries.silentTooLong(attempt, 0.1, 2, 100'400ms)) << "a slow fleet";
    endpoint.health.setLastResponse(100'200ms);
    EXPECT_FALSE(retries.silentTooLong(attempt, 0.1, 1, 100'400ms));
}

}  // namespace
}  // namespace deckcart::policy
