// The merge of sources against an independent reference of its table, row by row and on drawn
// histories.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

#include "../../src/membership/restart.hpp"
#include "membership_reference.hpp"

namespace deckcart::test {
namespace {

using membership::Merge;
using membership::SourceKind;
using membership::SourceState;
using membership::View;
using std::chrono::seconds;

MergeRules threeSources() {
    MergeRules rules;
    rules.sources = {
        {"desk", SourceKind::controlPlane}, {"a.", SourceKind::srv}, {"b.", SourceKind::srv}};
    rules.longestStale = seconds(60), rules.confirmShare = 0.5, rules.confirmAfter = seconds(5);
    rules.grace = seconds(10), rules.reserveBelow = 2, rules.reserveUntil = 3;
    return rules;
}

Claim claimOf(int server, BuildNumber build = 1, EndpointState state = EndpointState::active,
              int priority = 0) {
    Claim c;
    c.entry.id = "10.0.0." + std::to_string(server) + ":80", c.entry.build = build,
    c.entry.state = state;
    c.priority = priority, c.as = "relay" + std::to_string(server);
    return c;
}
Reading reading(Duration at, std::vector<Claim> claims, std::string from = "ns1",
                Duration lifetime = seconds(30)) {
    return {at, lifetime, std::move(from), std::move(claims), false, {}};
}
std::vector<Claim> servers(int from, int to) {
    std::vector<Claim> out;
    for (int k = from; k <= to; ++k)
        out.push_back(claimOf(k));
    return out;
}

struct Both {
    explicit Both(MergeRules rules = threeSources()) : merge(rules), reference(rules) {}
    void took(std::size_t source, const Reading &r) {
        merge.took(source, r), reference.took(source, r);
    }
    void changed(std::size_t source, Duration at, const std::vector<Claim> &c) {
        merge.tookChanges(source, at, c), reference.changed(source, at, c);
    }
    void lost(std::size_t source, Duration at) {
        merge.lost(source, at, "lost"), reference.lost(source, at);
    }
    // As words, so that a difference can be read: "1 live b1; 2 draining b1".
    std::string at(Duration now) {
        view = merge.at(now);
        std::string got, want;
        for (const auto &m : view.members)
            if (m.inSet)
                got += words(m.entry);
        for (const auto &[id, e] : reference.at(now))
            want += words(e);
        EXPECT_EQ(got, want) << "at " << now.count() / 1000 << " ms";
        same = got == want;
        return got;
    }
    std::size_t live() const {
        std::size_t n = 0;
        for (const auto &m : view.members)
            n += m.inSet && m.entry.state == EndpointState::active;
        return n;
    }
    const membership::Member &member(int server) const {
        for (const auto &m : view.members)
            if (m.entry.id == claimOf(server).entry.id)
                return m;
        static const membership::Member none;
        return none;
    }
    static std::string words(const EndpointEntry &e) {
        return e.id.substr(7, e.id.size() - 10) +
               (e.state == EndpointState::active ? " live" : " draining") + " b" +
               std::to_string(e.build) + (e.startedAt ? " new" : "") + "; ";
    }
    Merge merge;
    Reference reference;
    View view;
    bool same = true;
};

// ---- the table, row by row ----

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
    EXPECT_EQ(b.member(1).reason, "nothing else is left; listed last by desk");
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

TEST(ModuleRestart, NeedsOneLiveBuildAndNoTrial) {
    using membership::mayStartAnew;
    const auto entry = [](BuildNumber build, EndpointState state) {
        return claimOf(1, build, state).entry;
    };
    EXPECT_TRUE(mayStartAnew({}, std::nullopt));
    EXPECT_TRUE(mayStartAnew({entry(1, EndpointState::active), entry(2, EndpointState::draining)},
                             RolloutPhase::released));
    EXPECT_FALSE(mayStartAnew({entry(1, EndpointState::active), entry(2, EndpointState::active)},
                              RolloutPhase::released));
    EXPECT_FALSE(mayStartAnew({entry(1, EndpointState::active)}, RolloutPhase::canary));
}

// ---- drawn histories ----

struct Step {
    int kind, source, span, from;
    std::vector<int> who;  // server * 8 + flavour
};

// A history of 40 steps from one seed: readings, changes, losses and pauses of three sources on
// eight servers.
std::vector<Step> drawn(std::uint32_t seed, int steps = 40) {
    std::minstd_rand chance(seed);
    const auto below = [&](int n) { return int(chance() % std::uint32_t(n)); };
    std::vector<Step> out;
    for (int k = 0; k < steps; ++k) {
        Step s{below(10), below(3), 1 + below(4) * below(8), below(2), {}};
        for (int server = 0; server < 8; ++server)
            if (below(10) < (s.kind == 9 ? 1 : 6))
                s.who.push_back(server * 64 + below(64));
        out.push_back(std::move(s));
    }
    return out;
}
Claim claimIn(int who, bool controlPlane) {
    const int flavour = who % 64;
    const auto state = !controlPlane || flavour < 50 ? EndpointState::active
                       : flavour < 58                ? EndpointState::draining
                                                     : EndpointState::removed;
    return claimOf(who / 64, flavour % 16 == 0 ? 2 : 1, state,
                   controlPlane ? membership::kNoClass : (flavour % 3) * 10);
}
void carryOut(Both &b, const Step &s, Duration &now, bool look = true) {
    now += seconds(s.span);
    std::vector<Claim> claims;
    for (const int w : s.who)
        claims.push_back(claimIn(w, s.source == 0));
    if (s.kind <= 5)
        b.took(std::size_t(s.source),
               reading(now, claims, s.source == 0 ? "desk" : "ns" + std::to_string(s.from)));
    else if (s.kind == 6 && s.source == 0)
        b.changed(0, now, claims);
    else if (s.kind == 7)
        b.lost(std::size_t(s.source), now);
    else if (s.kind == 8)
        now += seconds(100);
    if (look)
        b.at(now);
}

RC_GTEST_PROP(MergeDrawn, IsWhatTheReferencePredicts, (std::uint32_t seed)) {
    Both b;
    Duration now{};
    for (const auto &s : drawn(seed % 0x7ffffffe + 1)) {
        carryOut(b, s, now);
        RC_ASSERT(b.same);
    }
}

RC_GTEST_PROP(MergeDrawn, OrderOfArrivalDoesNotMatter, (std::uint32_t seed)) {
    // The same things told at the same times, the sources in another order, the claims too.
    std::minstd_rand chance(seed % 0x7ffffffe + 1);
    Merge one(threeSources()), other(threeSources());
    Duration now{};
    for (int round = 0; round < 12; ++round) {
        now += seconds(1 + int(chance() % 40));
        std::vector<std::pair<std::size_t, Reading>> told;
        for (std::size_t source = 0; source < 3; ++source) {
            if (chance() % 4 == 0)
                continue;
            std::vector<Claim> claims;
            for (int k = 0; k < 8; ++k)
                if (chance() % 3)
                    claims.push_back(claimIn(k * 64 + int(chance() % 64), source == 0));
            told.emplace_back(source, reading(now, claims, "ns" + std::to_string(chance() % 2)));
        }
        for (const auto &[source, r] : told)
            one.took(source, r);
        std::shuffle(told.begin(), told.end(), chance);
        for (auto &[source, r] : told) {
            std::shuffle(r.claims.begin(), r.claims.end(), chance);
            other.took(source, r);
        }
        std::string a, b;
        for (const auto &m : one.at(now).members)
            a += Both::words(m.entry) + m.reason + (m.inSet ? "+" : "-");
        for (const auto &m : other.at(now).members)
            b += Both::words(m.entry) + m.reason + (m.inSet ? "+" : "-");
        RC_ASSERT(a == b);
    }
}

RC_GTEST_PROP(MergeDrawn, FailureNeverEmptiesTheSet, (std::uint32_t seed)) {
    Both b;
    Duration now{};
    for (const auto &s : drawn(seed % 0x7ffffffe + 1, 20))
        carryOut(b, s, now);
    const auto before = b.live();
    for (std::size_t k = 0; k < 3; ++k)
        b.lost(k, now);
    for (int k = 0; k < 8; ++k) {
        now += seconds(20);
        b.at(now);
        RC_ASSERT(b.same);
        RC_ASSERT(before == 0 || b.live() > 0);
    }
}

RC_GTEST_PROP(MergeDrawn, GoneStaysGoneWithoutANewSignOfLife, (std::uint32_t seed)) {
    Both b;
    Duration now{};
    for (const auto &s : drawn(seed % 0x7ffffffe + 1, 20))
        carryOut(b, s, now);
    // The records list it all along; the control plane says gone, then fails.
    auto all = servers(0, 7);
    now += seconds(1);
    b.took(0, reading(now, all, "desk")), b.took(1, reading(now, all)),
        b.took(2, reading(now, all));
    b.at(now);
    now += seconds(1);
    b.changed(0, now, {claimOf(3, 1, EndpointState::removed)});
    b.at(now);
    b.lost(0, now);
    for (int k = 0; k < 12; ++k) {
        now += seconds(13);
        if (k % 3 != 2)
            b.took(1 + std::size_t(k % 2), reading(now, all, "ns" + std::to_string(k % 2)));
        b.at(now);
        RC_ASSERT(b.same);
        RC_ASSERT(!b.member(3).inSet);
    }
}

}  // namespace
}  // namespace deckcart::test
