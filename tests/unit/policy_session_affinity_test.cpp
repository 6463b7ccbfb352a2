// Session affinity: binding of keys to builds.
#include <gtest/gtest.h>

#include "../../src/policy/session_affinity.hpp"

namespace deckcart::policy {
namespace {

struct SessionAffinityTest : testing::Test {
    SessionAffinityTest() { settings.stickyKeys = true; }
    PolicySettings settings;
    SessionAffinity affinity{settings};
};

TEST_F(SessionAffinityTest, AnAnswerBindsToItsBuildAndLaterOnes) {
    affinity.bind("key", 2, Outcome::ok);
    EXPECT_FALSE(affinity.allows("key", 1, 0));
    EXPECT_TRUE(affinity.allows("key", 2, 0));
    EXPECT_TRUE(affinity.allows("key", 3, 0));
    EXPECT_TRUE(affinity.allows("other", 1, 0));
    affinity.bind("key", 1, Outcome::ok);
    EXPECT_FALSE(affinity.allows("key", 1, 0));
}

TEST_F(SessionAffinityTest, ErrorsAndOutcomesThatProveNoRunBindNothing) {
    for (const Outcome outcome :
         {Outcome::error, Outcome::overloaded, Outcome::connectFailed, Outcome::obsolete})
        affinity.bind("key", 2, outcome);
    EXPECT_TRUE(affinity.allows("key", 1, 0));
    affinity.bind("key", 2, Outcome::timeout);
    EXPECT_FALSE(affinity.allows("key", 1, 0));
}

TEST_F(SessionAffinityTest, NothingIsBoundWhereKeysAreNotSticky) {
    settings.stickyKeys = false;
    affinity.bind("key", 2, Outcome::ok);
    affinity.attemptSent("key", 2);
    EXPECT_TRUE(affinity.allows("key", 1, 0));
}

TEST_F(SessionAffinityTest, AnAttemptInFlightHoldsItsKeyUntilAllHaveEnded) {
    affinity.attemptSent("key", 2);
    affinity.attemptSent("key", 2);
    EXPECT_FALSE(affinity.allows("key", 1, 0));
    EXPECT_TRUE(affinity.allows("key", 2, 0));
    EXPECT_TRUE(affinity.allows("key", 1, 2)) << "of a build that was rolled back";
    affinity.attemptEnded("key", 2);
    EXPECT_FALSE(affinity.allows("key", 1, 0));
    affinity.attemptEnded("key", 2);
    EXPECT_TRUE(affinity.allows("key", 1, 0));
}

TEST_F(SessionAffinityTest, ARollBackReleasesSingleKeysAndTheBindingOfAllKeys) {
    affinity.bind("key", 2, Outcome::ok);
    affinity.release(3);
    EXPECT_FALSE(affinity.allows("key", 1, 0));
    affinity.release(2);
    EXPECT_TRUE(affinity.allows("key", 1, 0));
    affinity.bindAll(2);
    EXPECT_FALSE(affinity.allows("any", 1, 0));
    affinity.release(2);
    EXPECT_TRUE(affinity.allows("any", 1, 0));
}

}  // namespace
}  // namespace deckcart::policy
