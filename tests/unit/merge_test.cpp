// The merge of sources against an independent reference of its table, row by row.
#include "merge_fixture.hpp"

namespace deckcart::test {
namespace {

using membership::SourceState;

TEST(Merge, ListedByOneIsEnough) {
    Both b;
    b.took(0, reading(seconds(1), {claimOf(1)}));
    b.took(1, reading(seconds(1), {claimOf(2)}));
    EXPECT_EQ(b.at(seconds(1)), "1 live b1; 2 live b1; ");
    EXPECT_EQ(b.member(2).reason, "listed by a.");
}

TEST(Merge, ThePrecedingSourceWithdrawsTheOtherDoesNot) {
    Both b;
    b.took(0, reading(seconds(1), servers(1, 4)));
    b.took(1, reading(seconds(1), servers(1, 4)));
    b.at(seconds(1));
    b.took(1, reading(seconds(2), servers(2, 4)));  // not in the records, in the list: stays
    EXPECT_EQ(b.at(seconds(2)), "1 live b1; 2 live b1; 3 live b1; 4 live b1; ");
    b.took(0, reading(seconds(3), {claimOf(1), claimOf(3),
                                   claimOf(4)}));  // not in the list, in the records: leaves
    EXPECT_EQ(b.at(seconds(3)), "1 live b1; 2 draining b1; 3 live b1; 4 live b1; ");
    EXPECT_EQ(b.member(2).reason, "withdrawn by desk");
    EXPECT_EQ(b.at(seconds(13)), "1 live b1; 3 live b1; 4 live b1; ");
}

TEST(Merge, ADrainInAnySourceStandsUntilTakenBack) {
    Both b;
    b.took(0, reading(seconds(1), {claimOf(1), claimOf(2)}));
    b.took(1, reading(seconds(1), {claimOf(1, 1, EndpointState::draining), claimOf(2)}));
    EXPECT_EQ(b.at(seconds(1)), "1 draining b1; 2 live b1; ");
    b.took(1, reading(seconds(2), {claimOf(1), claimOf(2)}));
    EXPECT_EQ(b.at(seconds(2)), "1 live b1; 2 live b1; ");
}

TEST(Merge, GoneIsNotRevivedByAnOldListing) {
    Both b;
    b.took(0, reading(seconds(1), servers(1, 3)));
    b.took(1, reading(seconds(1), servers(1, 3)));
    b.at(seconds(1));
    b.changed(0, seconds(2), {claimOf(1, 1, EndpointState::removed)});
    EXPECT_EQ(b.at(seconds(2)), "2 live b1; 3 live b1; ");
    b.lost(0, seconds(3));
    b.took(1, reading(seconds(40), servers(1, 3)));
    EXPECT_EQ(b.at(seconds(70)), "2 live b1; 3 live b1; ")
        << "the desk has failed, the records never left out 1";
    b.took(1, reading(seconds(71), servers(2, 3)));
    b.at(seconds(71));
    b.took(1, reading(seconds(72), servers(1, 3)));
    EXPECT_EQ(b.at(seconds(72)), "1 live b1 new; 2 live b1; 3 live b1; ")
        << "listed anew: a sign of life";
}

TEST(Merge, ALossOverTheShareWaitsForConfirmation) {
    Both b;
    b.took(1, reading(seconds(1), servers(1, 4)));
    b.at(seconds(1));
    b.took(1, reading(seconds(2), {}));
    EXPECT_EQ(b.at(seconds(2)), "1 live b1; 2 live b1; 3 live b1; 4 live b1; ");
    ASSERT_EQ(b.view.confirm.size(), 1u);
    EXPECT_EQ(b.view.confirm[0].at, seconds(7));
    b.took(1, reading(seconds(4), {}));  // too soon to confirm
    b.at(seconds(4));
    EXPECT_EQ(b.live(), 4u);
    b.took(1, reading(seconds(7), {claimOf(4)}));  // three of them again
    EXPECT_EQ(b.at(seconds(7)), "1 draining b1; 2 draining b1; 3 draining b1; 4 live b1; ");
}

TEST(Merge, AnotherNameServerAddsAtOnceAndTakesAwayOnceConfirmed) {
    Both b;
    b.took(1, reading(seconds(1), servers(1, 4), "ns1"));
    b.at(seconds(1));
    b.took(1, reading(seconds(2), servers(2, 5), "ns2"));
    EXPECT_EQ(b.at(seconds(2)), "1 live b1; 2 live b1; 3 live b1; 4 live b1; 5 live b1 new; ");
    b.took(1, reading(seconds(3), servers(1, 4),
                      "ns1"));  // the first one again: what it does not know waits
    b.at(seconds(3));
    EXPECT_EQ(b.live(), 4u);
}

TEST(Merge, TheFirstSourceThatListsItGivesBuildAndTheReasonNamesTheOther) {
    Both b;
    b.took(0, reading(seconds(1), {claimOf(1, 2)}));
    b.took(1, reading(seconds(1), {claimOf(1, 1)}));
    EXPECT_EQ(b.at(seconds(1)), "1 live b2; ");
    EXPECT_EQ(b.member(1).reason, "listed by desk; build 1 in a.");
}

TEST(Merge, AllSourcesFailedKeepsTheLastSet) {
    Both b;
    b.took(0, reading(seconds(1), servers(1, 2)));
    b.took(1, reading(seconds(1), servers(2, 3)));
    b.at(seconds(1));
    EXPECT_EQ(b.at(std::chrono::hours(100)), "1 live b1; 2 live b1; 3 live b1; ");
    EXPECT_EQ(b.view.sources[1].state, SourceState::failed);
}

TEST(Merge, WhatAFailedSourceListedIsBetterThanNothing) {
    Both b;
    b.took(0, reading(seconds(1), servers(1, 2)));
    b.took(1, reading(seconds(1), servers(1, 2), "ns1", seconds(500)));
    b.at(seconds(1));
    b.lost(0, seconds(2));
    b.took(1, reading(seconds(3), {}));
    b.took(1, reading(seconds(9), {}));
    b.at(seconds(9));
    EXPECT_EQ(b.live(), 2u) << "the desk has precedence and is only stale";
    b.took(1, reading(seconds(80), {}));
    b.at(seconds(80));
    EXPECT_EQ(b.live(), 2u);
    EXPECT_EQ(b.member(1).reason, "kept as a last resort; last listed by desk");
}

TEST(Merge, ClassesOpenAndCloseWithHysteresis) {
    auto rules = threeSources();
    rules.confirmShare = 1;
    Both b(rules);
    const auto both = [&](int first) {
        std::vector<Claim> out;
        for (int k = 1; k <= first; ++k)
            out.push_back(claimOf(k, 1, EndpointState::active, 10));
        for (int k = 6; k <= 8; ++k)
            out.push_back(claimOf(k, 1, EndpointState::active, 20));
        return out;
    };
    b.took(1, reading(seconds(1), both(3)));
    b.at(seconds(1));
    EXPECT_EQ(b.live(), 3u);
    EXPECT_FALSE(b.member(6).inSet);
    b.took(1, reading(seconds(2), both(2)));
    b.at(seconds(2));
    EXPECT_EQ(b.live(), 2u);
    b.took(1, reading(seconds(3), both(1)));  // under 2: opens
    b.at(seconds(3));
    EXPECT_EQ(b.live(), 4u);
    b.took(1, reading(seconds(4), both(2)));  // not yet 3: stays open
    b.at(seconds(4));
    EXPECT_EQ(b.live(), 5u);
    b.took(1, reading(seconds(5), both(3)));  // closes: its instances drain
    b.at(seconds(5));
    EXPECT_EQ(b.live(), 3u);
    EXPECT_TRUE(b.member(6).inSet);
    b.at(seconds(15));
    EXPECT_FALSE(b.member(6).inSet);
}

TEST(Merge, AnOlderReadingIsPassedOver) {
    Both b;
    b.took(1, reading(seconds(5), servers(1, 2)));
    b.took(1, reading(seconds(4), servers(1, 4)));
    EXPECT_EQ(b.at(seconds(5)), "1 live b1; 2 live b1; ");
}

TEST(Merge, UnknownTargetsStandAsTheyWere) {
    Both b;
    b.took(1, reading(seconds(1), servers(1, 4)));
    b.at(seconds(1));
    auto r = reading(seconds(2), servers(2, 4));
    r.unknown = {"relay1"};
    b.took(1, r);
    b.at(seconds(2));
    EXPECT_EQ(b.live(), 4u);
}

TEST(Merge, SavedAndRecalledIsTheSameButStale) {
    Both b;
    b.took(0, reading(seconds(1), servers(1, 3)));
    b.changed(0, seconds(2), {claimOf(1, 1, EndpointState::removed)});
    b.took(1, reading(seconds(1), servers(1, 4)));
    const auto before = b.at(seconds(2));
    Merge again(threeSources());
    again.recall(b.merge.saved());
    std::string after;
    const auto view = again.at(seconds(2));
    for (const auto &m : view.members)
        if (m.inSet)
            after += Both::words(m.entry);
    EXPECT_EQ(before, after);
    EXPECT_EQ(view.sources[0].state, SourceState::stale);
}

}  // namespace
}  // namespace deckcart::test
