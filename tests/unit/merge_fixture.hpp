// What the tests of the merge share: rules, claims and readings in short, and a merge beside its
// reference.
#pragma once

#include <gtest/gtest.h>

#include "membership_reference.hpp"

namespace deckcart::test {

using membership::Merge;
using membership::SourceKind;
using membership::View;
using std::chrono::seconds;

inline MergeRules threeSources() {
    MergeRules rules;
    rules.sources = {
        {"desk", SourceKind::controlPlane}, {"a.", SourceKind::srv}, {"b.", SourceKind::srv}};
    rules.longestStale = seconds(60);
    rules.confirmShare = 0.5;
    rules.confirmAfter = seconds(5);
    rules.grace = seconds(10);
    rules.reserveBelow = 2;
    rules.reserveUntil = 3;
    return rules;
}

inline Claim claimOf(int server, BuildNumber build = 1, EndpointState state = EndpointState::active,
                     int priority = 0) {
    Claim claim;
    claim.entry.id = "10.0.0." + std::to_string(server) + ":80";
    claim.entry.build = build;
    claim.entry.state = state;
    claim.priority = priority;
    claim.as = "relay" + std::to_string(server);
    return claim;
}
inline Reading reading(Duration at, std::vector<Claim> claims, std::string from = "ns1",
                       Duration lifetime = seconds(30)) {
    return {at, lifetime, std::move(from), std::move(claims), false, {}};
}
inline std::vector<Claim> servers(int from, int to) {
    std::vector<Claim> out;
    for (int k = from; k <= to; ++k)
        out.push_back(claimOf(k));
    return out;
}

struct Both {
    explicit Both(const MergeRules &rules = threeSources()) : merge(rules), reference(rules) {}
    void took(std::size_t source, const Reading &given) {
        merge.took(source, given);
        reference.took(source, given);
    }
    void changed(std::size_t source, Duration now, const std::vector<Claim> &claims) {
        merge.applyChanges(source, now, claims);
        reference.changed(source, now, claims);
    }
    void lost(std::size_t source, Duration at) {
        merge.lost(source, at, "lost");
        reference.lost(source, at);
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

}  // namespace deckcart::test
