// Canary analysis: sample windows, direct evidence, usage counters, interference, verdicts.
#include <gtest/gtest.h>

#include "../../src/policy/canary_analyzer.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

// A window with this number of attempts, the first `failures` of them failed.
SampleWindow window(int attempts, int failures) {
    SampleWindow result;
    for (int attempt = 0; attempt < attempts; ++attempt)
        result.add(0, "a", attempt < failures, false, 1);
    return result;
}

TEST(PolicySamples, FailuresAreComparedWithTheBaselineByRoute) {
    const SampleWindow subject = window(20, 4);
    SampleWindow reference = window(20, 1);
    for (int attempt = 0; attempt < 20; ++attempt)
        reference.add(1, "b", true, false, 1);
    EXPECT_TRUE(failsMore(subject, reference, &OutcomeCounts::failures));
    EXPECT_FALSE(failsMore(subject, reference, &OutcomeCounts::errors));
    EXPECT_TRUE(reference.failsOften());
}

TEST(PolicySamples, AClosedWindowKeepsHalfOfTheCountsByEndpoint) {
    SampleWindow subject = window(20, 4);
    EXPECT_TRUE(subject.conclusive());
    EXPECT_FALSE(window(19, 4).conclusive());
    subject.close();
    EXPECT_FALSE(subject.conclusive());
    EXPECT_EQ(subject.endpoints.at("a").attempts, 10);
}

TEST(PolicySamples, OneSlowEndpointIsNotTypical) {
    SampleWindow window;
    for (int attempt = 0; attempt < 4; ++attempt) {
        window.add(0, "slow", false, false, 9);
        window.add(0, "a", false, false, 1);
        window.add(0, "b", false, false, 1);
    }
    EXPECT_EQ(window.typicalSlowness(), 1);
    EXPECT_EQ(window.typicalFailureShare(), 0);
}

struct DirectEvidenceTest : testing::Test {
    DirectEvidenceTest() { settings.voteLifetime = 6s; }
    void pairs(int count) {
        for (int pair = 0; pair < count; ++pair) {
            direct.recordAttempt(100s);
            direct.recordFailedOnCanary(100s);
        }
    }
    PolicySettings settings;
    DirectEvidence direct{settings};
};

TEST_F(DirectEvidenceTest, ThreePairsCountUnlessTheBaselineFailsToo) {
    pairs(2);
    EXPECT_FALSE(direct.pairsShowFailure({100, 0, 0}));
    pairs(1);
    EXPECT_TRUE(direct.pairsShowFailure({100, 0, 0}));
    EXPECT_FALSE(direct.pairsShowFailure({100, 30, 30}));
    direct.recordFailedOnBaseline();
    EXPECT_FALSE(direct.pairsShowFailure({100, 0, 0}));
}

TEST_F(DirectEvidenceTest, BadAttemptsExpireWithTheVoteLifetime) {
    pairs(1);
    EXPECT_TRUE(direct.recentAttemptsFail({100, 0, 0}));
    EXPECT_TRUE(direct.hasRecentEvidence());
    direct.expire(106s);
    EXPECT_FALSE(direct.recentAttemptsFail({100, 0, 0}));
    EXPECT_FALSE(direct.hasRecentEvidence());
}

TEST(PolicyDirectEvidence, TwoReportsOfIncorrectResponsesCount) {
    const PolicySettings settings;
    DirectEvidence direct(settings);
    direct.recordIncorrectResponse(100s);
    EXPECT_FALSE(direct.reportedIncorrect());
    direct.recordIncorrectResponse(100s);
    EXPECT_TRUE(direct.reportedIncorrect());
    direct.reset();
    EXPECT_FALSE(direct.reportedIncorrect());
}

// Adds a window that is unfavourable to the canary; returns whether the canary has failed.
bool unhealthyWindow(UsageComparison &usage) {
    usage.record({2, 0, 20, 10, 0s}, true);
    EXPECT_FALSE(usage.canaryFails()) << "no counts of the baseline yet";
    usage.record({1, 0, 100, 1, 0s}, false);
    return usage.canaryFails();
}

TEST(PolicyUsage, TwoUnhealthyWindowsFailIfThereWasAnErrorOfOurOwn) {
    UsageComparison usage;
    usage.recordOwnError();
    EXPECT_FALSE(unhealthyWindow(usage));
    EXPECT_TRUE(usage.suspicious());
    EXPECT_TRUE(unhealthyWindow(usage));
}

TEST(PolicyUsage, WithoutAnErrorOfOurOwnTheyAreOnlySuspicious) {
    UsageComparison usage;
    EXPECT_FALSE(unhealthyWindow(usage));
    EXPECT_FALSE(unhealthyWindow(usage));
    EXPECT_TRUE(usage.suspicious());
    usage.reset(false);
    EXPECT_FALSE(usage.suspicious());
}

struct InterferenceTest : testing::Test {
    // Records responses of the baseline for this time; returns the last message.
    std::string runBaseline(double slowness, Duration duration) {
        std::string message;
        for (const TimePoint until = now + duration; now < until; now += 50ms) {
            detector.recordBaseline(slowness, now);
            detector.expire(now);
            const auto finding = detector.advance(true, capacityReduced, now);
            if (finding.message)
                message = finding.message;
            interferes = interferes || finding.interferes;
        }
        return message;
    }
    void SetUp() override {
        for (int sample = 0; sample < 100; ++sample)
            detector.recordReference(1);
    }
    InterferenceDetector detector;
    TimePoint now = 100s;
    bool capacityReduced = false;
    bool interferes = false;
};

TEST_F(InterferenceTest, ABuildThatSlowsTheBaselineAgainAfterAPauseIsAtFault) {
    EXPECT_EQ(runBaseline(1, 2s), "");
    EXPECT_EQ(runBaseline(3, 3s), "pause: both builds slow");
    EXPECT_TRUE(detector.paused());
    EXPECT_EQ(runBaseline(1, 3s), "resume: the pause has helped");
    EXPECT_FALSE(interferes);
    runBaseline(3, 3s);
    EXPECT_TRUE(interferes);
}

TEST_F(InterferenceTest, APauseThatDoesNotHelpClearsTheCanaryForAWhile) {
    EXPECT_EQ(runBaseline(3, 3s), "pause: both builds slow");
    EXPECT_EQ(runBaseline(3, 4s), "resume: the pause has not helped");
    EXPECT_EQ(runBaseline(3, 4s), "");
    EXPECT_FALSE(detector.blocksPromotion(now));
    EXPECT_FALSE(interferes);
}

TEST_F(InterferenceTest, ReducedCapacityIsNoReasonToPause) {
    capacityReduced = true;
    EXPECT_EQ(runBaseline(3, 5s), "");
    EXPECT_FALSE(detector.idle());
}

struct CanaryAnalyzerTest : testing::Test {
    CanaryAnalyzerTest() {
        settings.routes = {{400ms, {}, {}, {}}};
        settings.voteLifetime = 6s;
        settings.promotionRule = PromotionRule::quorum;
        EXPECT_EQ(rollout.update({false, Outcome::ok, 2, 0, RolloutPhase::canary, 0.1, 0s}, now),
                  RolloutChange::build);
        analyzer.beginStage(true, now);
    }
    AnalysisContext context() const { return {rollout, fleet, latencies, 0.07, false, now}; }
    // Records one second of responses, 40 of each build; the first `errors` of the canary's are
    // errors.
    std::vector<std::string> runSecond(int errors, double slowness = 1, double canarySlowness = 1) {
        std::vector<std::string> messages;
        for (int attempt = 0; attempt < 40; ++attempt) {
            now += 25ms;
            const Outcome outcome = attempt < errors ? Outcome::error : Outcome::ok;
            record("c", 2, outcome, canarySlowness);
            record("b", 1, Outcome::ok, slowness);
            const auto batch = analyzer.analyze(context(), votes);
            messages.insert(messages.end(), batch.begin(), batch.end());
        }
        return messages;
    }
    std::vector<std::string> runSlowSeconds(int count) {
        std::vector<std::string> messages;
        for (int elapsed = 0; elapsed < count; ++elapsed) {
            const auto batch = runSecond(0, 1, 5);
            messages.insert(messages.end(), batch.begin(), batch.end());
        }
        return messages;
    }
    void record(const EndpointId &id, BuildNumber build, Outcome outcome, double slowness) {
        analyzer.recordAttempt({.endpoint = id,
                                .build = build,
                                .sentAt = now - 10ms,
                                .outcome = outcome,
                                .slowness = slowness,
                                .previousErrorBuild = {}},
                               context());
    }
    PolicySettings settings;
    TimePoint now = 100s;
    RolloutTracker rollout{settings};
    FleetSummary fleet{.rolloutEndpoints = 1, .targetEndpoints = 1};
    RouteLatencies latencies{{{400ms, {}, {}, {}}}};
    VoteSchedule votes{settings};
    CanaryAnalyzer analyzer{settings, now};
};

TEST_F(CanaryAnalyzerTest, TwoWindowsWithErrorsRollBack) {
    runSecond(20);
    EXPECT_FALSE(analyzer.failed());
    runSecond(20);
    runSecond(20);
    EXPECT_TRUE(analyzer.failed());
    EXPECT_EQ(votes.desired(), Verdict::rollBack);
    EXPECT_EQ(votes.reason(), "failures");
}

TEST_F(CanaryAnalyzerTest, HealthyWindowsPromoteOnceTheStagesClockAllowsIt) {
    for (int seconds = 0; seconds < 3; ++seconds)
        runSecond(0);
    EXPECT_EQ(votes.desired(), Verdict::none);
    runSecond(0);
    EXPECT_EQ(votes.desired(), Verdict::promote);
    EXPECT_EQ(votes.reason(), "healthy");
}

TEST_F(CanaryAnalyzerTest, ASlowBuildFirstGetsAnEvenShare) {
    EXPECT_EQ(runSlowSeconds(3).size(), 1U);
    EXPECT_TRUE(analyzer.evenShare());
    EXPECT_FALSE(analyzer.failed());
    EXPECT_TRUE(runSlowSeconds(9).empty());
    EXPECT_TRUE(analyzer.failed());
    EXPECT_EQ(votes.reason(), "slow");
}

TEST_F(CanaryAnalyzerTest, ANewBuildStartsWithoutEvidence) {
    analyzer.recordIncorrectResponse(now);
    analyzer.recordIncorrectResponse(now);
    EXPECT_TRUE(analyzer.analyze(context(), votes).empty());
    EXPECT_TRUE(analyzer.failed());
    analyzer.beginStage(false, now);
    EXPECT_TRUE(analyzer.failed());
    analyzer.beginStage(true, now);
    EXPECT_FALSE(analyzer.failed());
}

}  // namespace
}  // namespace deckcart::policy
