// Canary analysis and the evidence that it rests on.
#include <gtest/gtest.h>

#include "../../src/policy/canary_analyzer.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

// So many attempts, of which the first ones failed.
SampleWindow window(int attempts, int failures) {
    SampleWindow made;
    for (int attempt = 0; attempt < attempts; ++attempt)
        made.add(0, "a", attempt < failures, false, 1);
    return made;
}

TEST(PolicySamples, MoreFailuresThanTheBaselinesAreWeighedByRoute) {
    const SampleWindow ours = window(20, 4);
    SampleWindow theirs = window(20, 1);
    for (int attempt = 0; attempt < 20; ++attempt)
        theirs.add(1, "b", true, false, 1);
    EXPECT_TRUE(failsMore(ours, theirs, &OutcomeCounts::failures));
    EXPECT_FALSE(failsMore(ours, theirs, &OutcomeCounts::errors));
    EXPECT_TRUE(theirs.losesMany());
}

TEST(PolicySamples, AClosedWindowKeepsHalfOfTheCountsByEndpoint) {
    SampleWindow ours = window(20, 4);
    EXPECT_TRUE(ours.conclusive());
    EXPECT_FALSE(window(19, 4).conclusive());
    ours.close();
    EXPECT_FALSE(ours.conclusive());
    EXPECT_EQ(ours.endpoints.at("a").attempts, 10);
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

TEST_F(DirectEvidenceTest, ThreePairsCountUnlessTheBaselineFailsAlike) {
    pairs(2);
    EXPECT_FALSE(direct.pairsFail({100, 0, 0}));
    pairs(1);
    EXPECT_TRUE(direct.pairsFail({100, 0, 0}));
    EXPECT_FALSE(direct.pairsFail({100, 30, 30}));
    direct.recordFailedOnBaseline();
    EXPECT_FALSE(direct.pairsFail({100, 0, 0}));
}

TEST_F(DirectEvidenceTest, BadAttemptsLapseWithAVotesLife) {
    pairs(1);
    EXPECT_TRUE(direct.recentlyBad({100, 0, 0}));
    EXPECT_TRUE(direct.anyRecent());
    direct.expire(106s);
    EXPECT_FALSE(direct.recentlyBad({100, 0, 0}));
    EXPECT_FALSE(direct.anyRecent());
}

TEST(PolicyDirectEvidence, TwoReportsOfIncorrectResponsesCount) {
    const PolicySettings settings;
    DirectEvidence direct(settings);
    direct.recordIncorrectResponse(100s);
    EXPECT_FALSE(direct.incorrect());
    direct.recordIncorrectResponse(100s);
    EXPECT_TRUE(direct.incorrect());
    direct.reset();
    EXPECT_FALSE(direct.incorrect());
}

// Whether a window that is to the canary's disadvantage makes it fail.
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

TEST(PolicyUsage, WithoutAnErrorOfOurOwnTheyAreSuspiciousOnly) {
    UsageComparison usage;
    EXPECT_FALSE(unhealthyWindow(usage));
    EXPECT_FALSE(unhealthyWindow(usage));
    EXPECT_TRUE(usage.suspicious());
    usage.reset(false);
    EXPECT_FALSE(usage.suspicious());
}

struct InterferenceTest : testing::Test {
    // Both builds' answers for so long; returns the last message.
    std::string answers(double slowness, Duration duration) {
        std::string message;
        for (const TimePoint until = now + duration; now < until; now += 50ms) {
            detector.recordBaseline(slowness, now);
            detector.expire(now);
            const auto finding = detector.advance(true, fleetShort, now);
            if (finding.message)
                message = finding.message;
            interferes = interferes || finding.interferes;
        }
        return message;
    }
    void SetUp() override {
        for (int sample = 0; sample < 100; ++sample)
            detector.recordFullLoad(1);
    }
    InterferenceDetector detector;
    TimePoint now = 100s;
    bool fleetShort = false;
    bool interferes = false;
};

TEST_F(InterferenceTest, ABuildThatSlowsTheBaselineAgainAfterAPauseIsBlamed) {
    EXPECT_EQ(answers(1, 2s), "");
    EXPECT_EQ(answers(3, 3s), "pause: both builds slow");
    EXPECT_TRUE(detector.paused());
    EXPECT_EQ(answers(1, 3s), "resume: the pause has helped");
    EXPECT_FALSE(interferes);
    answers(3, 3s);
    EXPECT_TRUE(interferes);
}

TEST_F(InterferenceTest, APauseThatDoesNotHelpClearsForAWhile) {
    EXPECT_EQ(answers(3, 3s), "pause: both builds slow");
    EXPECT_EQ(answers(3, 4s), "resume: the pause has not helped");
    EXPECT_EQ(answers(3, 4s), "");
    EXPECT_FALSE(detector.blocksPromotion(now));
    EXPECT_FALSE(interferes);
}

TEST_F(InterferenceTest, AFleetThatIsShortIsNoReasonToPause) {
    fleetShort = true;
    EXPECT_EQ(answers(3, 5s), "");
    EXPECT_FALSE(detector.quiet());
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
    // Answers of both builds for a second, 40 each; so many of the canary's are errors.
    std::vector<std::string> second(int errors, double slowness = 1, double canarySlowness = 1) {
        std::vector<std::string> messages;
        for (int attempt = 0; attempt < 40; ++attempt) {
            now += 25ms;
            const Outcome outcome = attempt < errors ? Outcome::error : Outcome::ok;
            record("c", 2, outcome, canarySlowness);
            record("b", 1, Outcome::ok, slowness);
            const auto more = analyzer.analyze(context(), votes);
            messages.insert(messages.end(), more.begin(), more.end());
        }
        return messages;
    }
    std::vector<std::string> slowSeconds(int count) {
        std::vector<std::string> messages;
        for (int elapsed = 0; elapsed < count; ++elapsed) {
            const auto more = second(0, 1, 5);
            messages.insert(messages.end(), more.begin(), more.end());
        }
        return messages;
    }
    void record(const EndpointId &id, BuildNumber build, Outcome outcome, double slowness) {
        analyzer.recordAttempt({.endpoint = id,
                                .build = build,
                                .sentAt = now - 10ms,
                                .outcome = outcome,
                                .slowness = slowness,
                                .errorBefore = {}},
                               context());
    }
    PolicySettings settings;
    TimePoint now = 100s;
    RolloutTracker rollout{settings};
    FleetSummary fleet{.newestEndpoints = 1, .places = 1};
    RouteLatencies latencies{{{400ms, {}, {}, {}}}};
    VoteSchedule votes{settings};
    CanaryAnalyzer analyzer{settings, now};
};

TEST_F(CanaryAnalyzerTest, TwoWindowsWithErrorsRollBack) {
    second(20);
    EXPECT_FALSE(analyzer.failed());
    second(20);
    second(20);
    EXPECT_TRUE(analyzer.failed());
    EXPECT_EQ(votes.wanted(), Verdict::rollBack);
    EXPECT_EQ(votes.reason(), "failures");
}

TEST_F(CanaryAnalyzerTest, HealthyWindowsPromoteOnceTheStagesClockAllowsIt) {
    for (int seconds = 0; seconds < 3; ++seconds)
        second(0);
    EXPECT_EQ(votes.wanted(), Verdict::none);
    second(0);
    EXPECT_EQ(votes.wanted(), Verdict::promote);
    EXPECT_EQ(votes.reason(), "healthy");
}

TEST_F(CanaryAnalyzerTest, ASlowBuildFirstGetsAnEvenShare) {
    EXPECT_EQ(slowSeconds(3).size(), 1U);
    EXPECT_TRUE(analyzer.evenShare());
    EXPECT_FALSE(analyzer.failed());
    EXPECT_TRUE(slowSeconds(9).empty());
    EXPECT_TRUE(analyzer.failed());
    EXPECT_EQ(votes.reason(), "slow");
}

TEST_F(CanaryAnalyzerTest, ANewBuildBeginsWithAClearRecord) {
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
