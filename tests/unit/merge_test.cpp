// The merge of sources, compared with the reference implementation, row by row of its table.
#include "merge_fixture.hpp"

namespace deckcart::test {
namespace {

using membership::SourceState;

TEST(Merge, OneListingSourceIsEnough) {
    CheckedMerge checked;
    checked.applyReading(0, makeReading(seconds(1), {makeClaim(1)}));
    checked.applyReading(1, makeReading(seconds(1), {makeClaim(2)}));
    EXPECT_EQ(checked.evaluate(seconds(1)), "1 live b1; 2 live b1; ");
    EXPECT_EQ(checked.member(2).reason, "listed by a.");
}

TEST(Merge, OnlyTheSourceWithPrecedenceWithdraws) {
    CheckedMerge checked;
    checked.applyReading(0, makeReading(seconds(1), makeClaims(1, 4)));
    checked.applyReading(1, makeReading(seconds(1), makeClaims(1, 4)));
    checked.evaluate(seconds(1));
    // Endpoint 1 is missing in the records, but the control plane lists it: it stays.
    checked.applyReading(1, makeReading(seconds(2), makeClaims(2, 4)));
    EXPECT_EQ(checked.evaluate(seconds(2)), "1 live b1; 2 live b1; 3 live b1; 4 live b1; ");
    // Endpoint 2 is in the records, but missing in the control plane's list: it leaves.
    checked.applyReading(0, makeReading(seconds(3), {makeClaim(1), makeClaim(3), makeClaim(4)}));
    EXPECT_EQ(checked.evaluate(seconds(3)), "1 live b1; 2 draining b1; 3 live b1; 4 live b1; ");
    EXPECT_EQ(checked.member(2).reason, "withdrawn by desk");
    EXPECT_EQ(checked.evaluate(seconds(13)), "1 live b1; 3 live b1; 4 live b1; ");
}

TEST(Merge, ADrainInAnySourceAppliesUntilItIsRevoked) {
    CheckedMerge checked;
    checked.applyReading(0, makeReading(seconds(1), {makeClaim(1), makeClaim(2)}));
    checked.applyReading(
        1, makeReading(seconds(1), {makeClaim(1, 1, EndpointState::draining), makeClaim(2)}));
    EXPECT_EQ(checked.evaluate(seconds(1)), "1 draining b1; 2 live b1; ");
    checked.applyReading(1, makeReading(seconds(2), {makeClaim(1), makeClaim(2)}));
    EXPECT_EQ(checked.evaluate(seconds(2)), "1 live b1; 2 live b1; ");
}

TEST(Merge, RemovedIsNotRevivedByAnOldListing) {
    CheckedMerge checked;
    checked.applyReading(0, makeReading(seconds(1), makeClaims(1, 3)));
    checked.applyReading(1, makeReading(seconds(1), makeClaims(1, 3)));
    checked.evaluate(seconds(1));
    checked.applyChanges(0, seconds(2), {makeClaim(1, 1, EndpointState::removed)});
    EXPECT_EQ(checked.evaluate(seconds(2)), "2 live b1; 3 live b1; ");
    checked.markUnavailable(0, seconds(3));
    checked.applyReading(1, makeReading(seconds(40), makeClaims(1, 3)));
    EXPECT_EQ(checked.evaluate(seconds(70)), "2 live b1; 3 live b1; ")
        << "the control plane has failed, and the records never left out 1";
    checked.applyReading(1, makeReading(seconds(71), makeClaims(2, 3)));
    checked.evaluate(seconds(71));
    checked.applyReading(1, makeReading(seconds(72), makeClaims(1, 3)));
    EXPECT_EQ(checked.evaluate(seconds(72)), "1 live b1 new; 2 live b1; 3 live b1; ")
        << "listed again after it was left out: alive";
}

TEST(Merge, ALossOverTheShareWaitsForConfirmation) {
    CheckedMerge checked;
    checked.applyReading(1, makeReading(seconds(1), makeClaims(1, 4)));
    checked.evaluate(seconds(1));
    checked.applyReading(1, makeReading(seconds(2), {}));
    EXPECT_EQ(checked.evaluate(seconds(2)), "1 live b1; 2 live b1; 3 live b1; 4 live b1; ");
    ASSERT_EQ(checked.view.confirmations.size(), 1u);
    EXPECT_EQ(checked.view.confirmations[0].readAt, seconds(7));
    checked.applyReading(1, makeReading(seconds(4), {}));  // too early to confirm
    checked.evaluate(seconds(4));
    EXPECT_EQ(checked.liveCount(), 4u);
    // Confirms three of the losses.
    checked.applyReading(1, makeReading(seconds(7), {makeClaim(4)}));
    EXPECT_EQ(checked.evaluate(seconds(7)),
              "1 draining b1; 2 draining b1; 3 draining b1; 4 live b1; ");
}

TEST(Merge, AnotherNameServerAddsAtOnceAndRemovesOnceConfirmed) {
    CheckedMerge checked;
    checked.applyReading(1, makeReading(seconds(1), makeClaims(1, 4), "ns1"));
    checked.evaluate(seconds(1));
    checked.applyReading(1, makeReading(seconds(2), makeClaims(2, 5), "ns2"));
    EXPECT_EQ(checked.evaluate(seconds(2)),
              "1 live b1; 2 live b1; 3 live b1; 4 live b1; 5 live b1 new; ");
    // The previous name server again: the loss of endpoint 5 waits for confirmation.
    checked.applyReading(1, makeReading(seconds(3), makeClaims(1, 4), "ns1"));
    checked.evaluate(seconds(3));
    EXPECT_EQ(checked.liveCount(), 4u);
}

TEST(Merge, TheFirstListingSourceGivesTheBuildAndTheReasonNamesTheOther) {
    CheckedMerge checked;
    checked.applyReading(0, makeReading(seconds(1), {makeClaim(1, 2)}));
    checked.applyReading(1, makeReading(seconds(1), {makeClaim(1, 1)}));
    EXPECT_EQ(checked.evaluate(seconds(1)), "1 live b2; ");
    EXPECT_EQ(checked.member(1).reason, "listed by desk; build 1 in a.");
}

TEST(Merge, AllSourcesFailedKeepsTheLastSet) {
    CheckedMerge checked;
    checked.applyReading(0, makeReading(seconds(1), makeClaims(1, 2)));
    checked.applyReading(1, makeReading(seconds(1), makeClaims(2, 3)));
    checked.evaluate(seconds(1));
    EXPECT_EQ(checked.evaluate(std::chrono::hours(100)), "1 live b1; 2 live b1; 3 live b1; ");
    EXPECT_EQ(checked.view.sources[1].state, SourceState::failed);
}

TEST(Merge, AFailedSourcesListIsTheLastResort) {
    CheckedMerge checked;
    checked.applyReading(0, makeReading(seconds(1), makeClaims(1, 2)));
    checked.applyReading(1, makeReading(seconds(1), makeClaims(1, 2), "ns1", seconds(500)));
    checked.evaluate(seconds(1));
    checked.markUnavailable(0, seconds(2));
    checked.applyReading(1, makeReading(seconds(3), {}));
    checked.applyReading(1, makeReading(seconds(9), {}));
    checked.evaluate(seconds(9));
    EXPECT_EQ(checked.liveCount(), 2u) << "the control plane has precedence and is only stale";
    checked.applyReading(1, makeReading(seconds(80), {}));
    checked.evaluate(seconds(80));
    EXPECT_EQ(checked.liveCount(), 2u);
    EXPECT_EQ(checked.member(1).reason, "kept as a last resort; last listed by desk");
}

TEST(Merge, ClassesOpenAndCloseWithHysteresis) {
    auto rules = makeRules();
    rules.confirmFraction = 1;
    CheckedMerge checked(rules);
    const auto twoClasses = [&](int first) {
        std::vector<Claim> claims;
        for (int k = 1; k <= first; ++k)
            claims.push_back(makeClaim(k, 1, EndpointState::active, 10));
        for (int k = 6; k <= 8; ++k)
            claims.push_back(makeClaim(k, 1, EndpointState::active, 20));
        return claims;
    };
    checked.applyReading(1, makeReading(seconds(1), twoClasses(3)));
    checked.evaluate(seconds(1));
    EXPECT_EQ(checked.liveCount(), 3u);
    EXPECT_FALSE(checked.member(6).inSet);
    checked.applyReading(1, makeReading(seconds(2), twoClasses(2)));
    checked.evaluate(seconds(2));
    EXPECT_EQ(checked.liveCount(), 2u);
    // Fewer than 2 in the first class: the next class opens.
    checked.applyReading(1, makeReading(seconds(3), twoClasses(1)));
    checked.evaluate(seconds(3));
    EXPECT_EQ(checked.liveCount(), 4u);
    // Fewer than 3 in the first class: the next class stays open.
    checked.applyReading(1, makeReading(seconds(4), twoClasses(2)));
    checked.evaluate(seconds(4));
    EXPECT_EQ(checked.liveCount(), 5u);
    // 3 in the first class: the next class closes and its endpoints drain.
    checked.applyReading(1, makeReading(seconds(5), twoClasses(3)));
    checked.evaluate(seconds(5));
    EXPECT_EQ(checked.liveCount(), 3u);
    EXPECT_TRUE(checked.member(6).inSet);
    checked.evaluate(seconds(15));
    EXPECT_FALSE(checked.member(6).inSet);
}

TEST(Merge, AnOlderReadingIsIgnored) {
    CheckedMerge checked;
    checked.applyReading(1, makeReading(seconds(5), makeClaims(1, 2)));
    checked.applyReading(1, makeReading(seconds(4), makeClaims(1, 4)));
    EXPECT_EQ(checked.evaluate(seconds(5)), "1 live b1; 2 live b1; ");
}

TEST(Merge, UnresolvedTargetsAreKept) {
    CheckedMerge checked;
    checked.applyReading(1, makeReading(seconds(1), makeClaims(1, 4)));
    checked.evaluate(seconds(1));
    auto partial = makeReading(seconds(2), makeClaims(2, 4));
    partial.unresolved = {"relay1"};
    checked.applyReading(1, partial);
    checked.evaluate(seconds(2));
    EXPECT_EQ(checked.liveCount(), 4u);
}

TEST(Merge, ARestoredMergeIsTheSameButStale) {
    CheckedMerge checked;
    checked.applyReading(0, makeReading(seconds(1), makeClaims(1, 3)));
    checked.applyChanges(0, seconds(2), {makeClaim(1, 1, EndpointState::removed)});
    checked.applyReading(1, makeReading(seconds(1), makeClaims(1, 4)));
    const auto before = checked.evaluate(seconds(2));
    Merge restored(makeRules());
    restored.restore(checked.merge.save());
    std::string after;
    const auto view = restored.evaluate(seconds(2));
    for (const auto &member : view.members)
        if (member.inSet)
            after += CheckedMerge::describe(member.entry);
    EXPECT_EQ(before, after);
    EXPECT_EQ(view.sources[0].state, SourceState::stale);
}

}  // namespace
}  // namespace deckcart::test
