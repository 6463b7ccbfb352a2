// The merge of sources, compared with the reference implementation, on random histories.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

#include "merge_fixture.hpp"

namespace deckcart::test {
namespace {

struct Step {
    int kind, source, span, reporter;
    std::vector<int> claims;  // server * 64 + variant
};

// A random history from one seed: readings, changes, outages and pauses of three sources that list
// eight servers.
std::vector<Step> drawHistory(std::uint32_t seed, int steps = 40) {
    std::minstd_rand random(seed);
    const auto below = [&](int n) { return int(random() % std::uint32_t(n)); };
    std::vector<Step> history;
    for (int k = 0; k < steps; ++k) {
        Step step{below(10), below(3), 1 + below(4) * below(8), below(2), {}};
        for (int server = 0; server < 8; ++server)
            if (below(10) < (step.kind == 9 ? 1 : 6))
                step.claims.push_back(server * 64 + below(64));
        history.push_back(std::move(step));
    }
    return history;
}
Claim decodeClaim(int encoded, bool controlPlane) {
    const int variant = encoded % 64;
    const auto state = !controlPlane || variant < 50 ? EndpointState::active
                       : variant < 58                ? EndpointState::draining
                                                     : EndpointState::removed;
    return makeClaim(encoded / 64, variant % 16 == 0 ? 2 : 1, state,
                     controlPlane ? membership::kNoPriorityClass : (variant % 3) * 10);
}
void runStep(CheckedMerge &checked, const Step &step, Duration &now, bool evaluate = true) {
    now += seconds(step.span);
    std::vector<Claim> claims;
    for (const int encoded : step.claims)
        claims.push_back(decodeClaim(encoded, step.source == 0));
    if (step.kind <= 5)
        checked.applyReading(
            std::size_t(step.source),
            makeReading(now, claims,
                        step.source == 0 ? "desk" : "ns" + std::to_string(step.reporter)));
    else if (step.kind == 6 && step.source == 0)
        checked.applyChanges(0, now, claims);
    else if (step.kind == 7)
        checked.markUnavailable(std::size_t(step.source), now);
    else if (step.kind == 8)
        now += seconds(100);
    if (evaluate)
        checked.evaluate(now);
}

RC_GTEST_PROP(MergeDrawn, AgreesWithTheReference, (std::uint32_t seed)) {
    CheckedMerge checked;
    Duration now{};
    for (const auto &step : drawHistory(seed % 0x7ffffffe + 1)) {
        runStep(checked, step, now);
        RC_ASSERT(checked.matches);
    }
}

RC_GTEST_PROP(MergeDrawn, OrderOfArrivalDoesNotMatter, (std::uint32_t seed)) {
    // The same reports at the same times, with sources and claims in another order.
    std::minstd_rand random(seed % 0x7ffffffe + 1);
    Merge one(makeRules()), other(makeRules());
    Duration now{};
    for (int round = 0; round < 12; ++round) {
        now += seconds(1 + int(random() % 40));
        std::vector<std::pair<std::size_t, Reading>> reports;
        for (std::size_t source = 0; source < 3; ++source) {
            if (random() % 4 == 0)
                continue;
            std::vector<Claim> claims;
            for (int k = 0; k < 8; ++k)
                if (random() % 3)
                    claims.push_back(decodeClaim(k * 64 + int(random() % 64), source == 0));
            reports.emplace_back(source,
                                 makeReading(now, claims, "ns" + std::to_string(random() % 2)));
        }
        for (const auto &[source, reading] : reports)
            one.applyReading(source, reading);
        std::shuffle(reports.begin(), reports.end(), random);
        for (auto &[source, reading] : reports) {
            std::shuffle(reading.claims.begin(), reading.claims.end(), random);
            other.applyReading(source, reading);
        }
        std::string ofOne, ofOther;
        for (const auto &member : one.evaluate(now).members)
            ofOne +=
                CheckedMerge::describe(member.entry) + member.reason + (member.inSet ? "+" : "-");
        for (const auto &member : other.evaluate(now).members)
            ofOther +=
                CheckedMerge::describe(member.entry) + member.reason + (member.inSet ? "+" : "-");
        RC_ASSERT(ofOne == ofOther);
    }
}

RC_GTEST_PROP(MergeDrawn, FailureNeverEmptiesTheSet, (std::uint32_t seed)) {
    CheckedMerge checked;
    Duration now{};
    for (const auto &step : drawHistory(seed % 0x7ffffffe + 1, 20))
        runStep(checked, step, now);
    const auto liveBefore = checked.liveCount();
    for (std::size_t k = 0; k < 3; ++k)
        checked.markUnavailable(k, now);
    for (int k = 0; k < 8; ++k) {
        now += seconds(20);
        checked.evaluate(now);
        RC_ASSERT(checked.matches);
        RC_ASSERT(liveBefore == 0 || checked.liveCount() > 0);
    }
}

RC_GTEST_PROP(MergeDrawn, RemovedStaysRemovedWhileOldListingsContinue, (std::uint32_t seed)) {
    CheckedMerge checked;
    Duration now{};
    for (const auto &step : drawHistory(seed % 0x7ffffffe + 1, 20))
        runStep(checked, step, now);
    // The records list endpoint 3 all the time; the control plane reports it as removed, then
    // fails.
    auto all = makeClaims(0, 7);
    now += seconds(1);
    checked.applyReading(0, makeReading(now, all, "desk"));
    checked.applyReading(1, makeReading(now, all));
    checked.applyReading(2, makeReading(now, all));
    checked.evaluate(now);
    now += seconds(1);
    checked.applyChanges(0, now, {makeClaim(3, 1, EndpointState::removed)});
    checked.evaluate(now);
    checked.markUnavailable(0, now);
    for (int k = 0; k < 12; ++k) {
        now += seconds(13);
        if (k % 3 != 2)
            checked.applyReading(1 + std::size_t(k % 2),
                                 makeReading(now, all, "ns" + std::to_string(k % 2)));
        checked.evaluate(now);
        RC_ASSERT(checked.matches);
        RC_ASSERT(!checked.member(3).inSet);
    }
}

}  // namespace
}  // namespace deckcart::test
