// Shared by the tests of the merge: short forms of rules, claims and readings, and a merge that is
// compared with the reference implementation.
#pragma once

#include <gtest/gtest.h>

#include "membership_reference.hpp"

namespace deckcart::test {

using membership::Merge;
using membership::MergeResult;
using membership::SourceKind;
using std::chrono::seconds;

inline MergeRules makeRules() {
    MergeRules rules;
    rules.sources = {
        {"desk", SourceKind::controlPlane}, {"a.", SourceKind::srv}, {"b.", SourceKind::srv}};
    rules.maxStaleness = seconds(60);
    rules.confirmFraction = 0.5;
    rules.confirmAfter = seconds(5);
    rules.grace = seconds(10);
    rules.reserveBelow = 2;
    rules.reserveUntil = 3;
    return rules;
}

inline Claim makeClaim(int server, BuildNumber build = 1,
                       EndpointState state = EndpointState::active, int priority = 0) {
    Claim claim;
    claim.entry.id = "10.0.0." + std::to_string(server) + ":80";
    claim.entry.build = build;
    claim.entry.state = state;
    claim.priority = priority;
    claim.listedAs = "relay" + std::to_string(server);
    return claim;
}
inline Reading makeReading(Duration at, std::vector<Claim> claims, std::string from = "ns1",
                           Duration lifetime = seconds(30)) {
    return {at, lifetime, std::move(from), std::move(claims), false, {}};
}
inline std::vector<Claim> makeClaims(int from, int to) {
    std::vector<Claim> claims;
    for (int k = from; k <= to; ++k)
        claims.push_back(makeClaim(k));
    return claims;
}

// A merge and its reference, which get the same reports and are compared at each evaluation.
struct CheckedMerge {
    explicit CheckedMerge(const MergeRules &rules = makeRules()) : merge(rules), reference(rules) {}
    void applyReading(std::size_t source, const Reading &reading) {
        merge.applyReading(source, reading);
        reference.applyReading(source, reading);
    }
    void applyChanges(std::size_t source, Duration now, const std::vector<Claim> &claims) {
        merge.applyChanges(source, now, claims);
        reference.applyChanges(source, now, claims);
    }
    void markUnavailable(std::size_t source, Duration at) {
        merge.markUnavailable(source, at, "unavailable");
        reference.markUnavailable(source, at);
    }
    // Returns the routed set as text, for readable differences: "1 live b1; 2 draining b1; ".
    std::string evaluate(Duration now) {
        view = merge.evaluate(now);
        std::string actual, expected;
        for (const auto &each : view.members)
            if (each.inSet)
                actual += describe(each.entry);
        for (const auto &[id, entry] : reference.evaluate(now))
            expected += describe(entry);
        EXPECT_EQ(actual, expected) << "at " << now.count() / 1000 << " ms";
        matches = actual == expected;
        return actual;
    }
    std::size_t liveCount() const {
        std::size_t count = 0;
        for (const auto &each : view.members)
            count += each.inSet && each.entry.state == EndpointState::active;
        return count;
    }
    const membership::Member &member(int server) const {
        for (const auto &each : view.members)
            if (each.entry.id == makeClaim(server).entry.id)
                return each;
        static const membership::Member none;
        return none;
    }
    static std::string describe(const EndpointEntry &entry) {
        return entry.id.substr(7, entry.id.size() - 10) +
               (entry.state == EndpointState::active ? " live" : " draining") + " b" +
               std::to_string(entry.build) + (entry.startedAt ? " new" : "") + "; ";
    }
    Merge merge;
    Reference reference;
    MergeResult view;
    bool matches = true;
};

}  // namespace deckcart::test
