// The merge of sources against an independent reference of its table, on drawn histories.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

#include "merge_fixture.hpp"

namespace deckcart::test {
namespace {

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
    b.took(0, reading(now, all, "desk"));
    b.took(1, reading(now, all));
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
