// Regression tests of the decision module as a whole, on virtual time.
#include <gtest/gtest.h>

#include <algorithm>
#include <deckcart/policy.hpp>

namespace deckcart {
namespace {

using namespace std::chrono_literals;

// A gateway with one route and endpoints of both builds: ids of the baseline begin with e, of the
// canary with t.
struct PolicyHarness {
    PolicyHarness() {
        settings.routes = {{400ms, Idempotency::idempotent, DeduplicationScope::all, {}}};
        settings.tenantQuotas = {1};
        settings.cancellationAllowed = true, settings.maxAttempts = 4,
        settings.inPlaceReplacement = true, settings.stickyKeys = true;
        settings.promotionRule = PromotionRule::quorum, settings.exposureAllowance = 3,
        settings.exposureWindow = 4s, settings.warmUpTime = 1s, settings.initialCapacity = 0.9;
        settings.overloadMultiple = 2.5, settings.overloadWindow = 3s, settings.voteLifetime = 6s,
        settings.voteTimeout = 800ms;
        settings.exposureLimits = {0.12, 0.42, 1}, settings.stageShares = {0.1, 0.35, 1};
    }
    void start(int baselineCount = 8, int canaryCount = 2) {
        for (int index = 0; index < baselineCount; ++index)
            list.entries.push_back(
                {"e" + std::to_string(index), 0, 0, 1, EndpointState::active, 1, {}});
        for (int index = 0; index < canaryCount; ++index)
            list.entries.push_back(
                {"t" + std::to_string(index), 0, 0, 2, EndpointState::active, 1, Duration{90s}});
        list.complete = true;
        deliver(PolicyStarted{settings});
        deliver(list);
        deliver(RolloutUpdate{false, Outcome::ok, 2, 0, RolloutPhase::canary, 0.12, 0s});
    }
    std::vector<Action> deliver(Event event) { return policy.decide(1, now, {std::move(event)}); }
    // The endpoint that an attempt was sent to; empty: none was.
    static EndpointId sentTo(const std::vector<Action> &actions) {
        for (const auto &action : actions)
            if (const auto *send = std::get_if<SendAttempt>(&action))
                return send->endpoint;
        return {};
    }
    EndpointId sendRequest(const std::string &key) {
        now += 5ms;
        return sentTo(deliver(RequestArrived{++request, key, 0, 0, now + 2s}));
    }
    EndpointId endAttempt(Outcome outcome, int attemptNumber = 0) {
        now += 20ms;
        return sentTo(
            deliver(AttemptEnded{request, attemptNumber, outcome == Outcome::ok, outcome}));
    }
    void advance(Duration duration) {
        for (const Duration until = now + duration; now < until; now += 20ms)
            recordPromotion(deliver(TimerFired{}));
    }
    void recordPromotion(const std::vector<Action> &actions) {
        for (const auto &action : actions)
            if (const auto *vote = std::get_if<Vote>(&action);
                vote && vote->verdict == Verdict::promote && promotedAt == Duration{})
                promotedAt = now;
    }
    PolicySettings settings;
    EndpointListUpdate list;
    Policy policy;
    Duration now = 100s, promotedAt{};
    RequestId request = 0;
};

TEST(PolicyKeys, AMalformedResponseBindsItsKey) {
    PolicyHarness harness;
    harness.start();
    std::string key;
    for (int index = 0; index < 2000 && key.empty(); ++index) {
        const std::string name = "k" + std::to_string(index);
        if (harness.sendRequest(name).starts_with("t"))
            key = name;
        else
            harness.endAttempt(Outcome::ok);
    }
    ASSERT_FALSE(key.empty()) << "some keys belong to the canary";
    EXPECT_FALSE(harness.endAttempt(Outcome::malformed).starts_with("e"))
        << "the key must not go back to the baseline";
    harness.now += 5s;
    for (int repetition = 0; repetition < 3; ++repetition)
        EXPECT_FALSE(harness.sendRequest(key).starts_with("e"));
}

TEST(PolicyKeys, AnErrorResponseBindsNoKey) {
    PolicyHarness harness;
    harness.start();
    for (int index = 0; index < 2000; ++index) {
        if (!harness.sendRequest("k" + std::to_string(index)).starts_with("t")) {
            harness.endAttempt(Outcome::ok);
            continue;
        }
        EXPECT_TRUE(harness.endAttempt(Outcome::error).starts_with("e"))
            << "the next attempt goes to the other build";
        return;
    }
    FAIL() << "no key was sent to the canary";
}

// Failed first attempts on the baseline used to bind keys to the canary until its traffic reached
// the exposure limit and requests with bound keys had to wait.
TEST(PolicyKeys, FailuresOnTheBaselineBindNoKeysBeyondTheFirstAttemptShare) {
    PolicyHarness harness;
    harness.start();
    int requests = 0, atCanary = 0;
    // Each first attempt at the baseline fails.
    for (int index = 0; index < 3000; ++index, ++requests) {
        const EndpointId first = harness.sendRequest("k" + std::to_string(index));
        atCanary += first.starts_with("t");
        if (first.starts_with("t"))
            harness.endAttempt(Outcome::ok);
        else {
            const EndpointId next = harness.endAttempt(Outcome::error);
            atCanary += next.starts_with("t");
            if (!next.empty())
                harness.endAttempt(Outcome::ok, 1);
        }
    }
    EXPECT_LT(atCanary, 0.105 * requests)
        << "0.7 of the exposure limit of 0.12, plus the allowance; before the fix: the whole limit";
    EXPECT_GT(atCanary, 0.05 * requests);
}

// The time from the start of a rollout's stage to the vote to promote.
Duration timeToPromotion(Duration minStageDuration) {
    PolicyHarness harness;
    harness.settings.minStageDuration = minStageDuration;
    harness.start(18, 2);
    harness.now += 3s;  // the canary's endpoints have been listed for a while
    const Duration stageStartedAt = harness.now;
    harness.deliver(RolloutUpdate{false, Outcome::ok, 3, 0, RolloutPhase::canary, 0.12, 0s});
    harness.list.entries[18].build = harness.list.entries[19].build = 3;
    harness.deliver(harness.list);
    harness.advance(12s);
    return harness.promotedAt - stageStartedAt;
}

TEST(PolicyStageClock, ShorterStagesShortenTheWaits) {
    const Duration reference = timeToPromotion(1500ms), unspecified = timeToPromotion(0s),
                   shorter = timeToPromotion(900ms), longer = timeToPromotion(3s);
    EXPECT_GE(reference, Duration{5s});
    EXPECT_EQ(unspecified, reference);
    EXPECT_EQ(longer, reference);
    EXPECT_LT(shorter, Duration{4s});
    EXPECT_GE(shorter, Duration{3s});
}

}  // namespace
}  // namespace deckcart
