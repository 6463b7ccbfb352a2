// Tests how each kind of update changes the known endpoint list and rollout stage, and which idle
// connections it closes.
#include "../../src/gateway/endpoint_snapshot.hpp"

#include <gtest/gtest.h>

namespace deckcart {
namespace {

class RecordingPool : public UpstreamPool {
  public:
    std::shared_ptr<UpstreamCall> createCall(const EndpointId & /*endpoint*/) override {
        return nullptr;
    }
    void closeIdle(const EndpointId &endpoint) override { closed.push_back(endpoint); }
    void closeExpired(Duration /*now*/) override {}
    void probe(const EndpointId & /*endpoint*/, ProbeCallback /*done*/) override {}
    std::vector<EndpointId> closed;
};

EndpointEntry makeEntry(const EndpointId &id, BuildNumber build,
                        EndpointState state = EndpointState::active) {
    EndpointEntry entry;
    entry.id = id;
    entry.build = build;
    entry.state = state;
    return entry;
}

RolloutUpdate makeRolloutUpdate(BuildNumber build, int step, double exposureLimit,
                                Outcome outcome = Outcome::ok) {
    return {false, outcome, build, step, RolloutPhase::canary, exposureLimit, {}};
}

TEST(EndpointSnapshot, CompleteListReplacesThePreviousList) {
    EndpointSnapshot snapshot;
    RecordingPool pool;
    snapshot.apply({true, {makeEntry("a", 1), makeEntry("b", 1)}}, pool);
    EXPECT_TRUE(pool.closed.empty());
    snapshot.apply({true, {makeEntry("b", 2), makeEntry("c", 1)}}, pool);
    EXPECT_EQ(pool.closed, std::vector<EndpointId>{"a"});
    EXPECT_FALSE(snapshot.find("a"));
    EXPECT_TRUE(snapshot.isActive("b", 2));
    EXPECT_FALSE(snapshot.isActive("b", 1)) << "it runs another build now";
    EXPECT_EQ(snapshot.entries().size(), 2U);
}

TEST(EndpointSnapshot, PartialUpdateKeepsOtherEndpoints) {
    EndpointSnapshot snapshot;
    RecordingPool pool;
    snapshot.apply({true, {makeEntry("a", 1), makeEntry("b", 1), makeEntry("c", 1)}}, pool);
    snapshot.apply(
        {false,
         {makeEntry("a", 1, EndpointState::draining), makeEntry("b", 1, EndpointState::removed)}},
        pool);
    EXPECT_EQ(pool.closed, (std::vector<EndpointId>{"a", "b"}));
    EXPECT_FALSE(snapshot.isActive("a", 1));
    EXPECT_TRUE(snapshot.find("a")) << "it is listed until it is removed";
    EXPECT_FALSE(snapshot.find("b"));
    EXPECT_TRUE(snapshot.isActive("c", 1));
    EXPECT_EQ(snapshot.lastDraining(), "a");
}

TEST(RolloutState, ReportsStageChanges) {
    RolloutState state;
    EXPECT_FALSE(state.stage());
    EXPECT_TRUE(state.apply(makeRolloutUpdate(2, 0, 0.1)).stageChanged) << "the first stage";
    EXPECT_FALSE(state.apply(makeRolloutUpdate(2, 0, 0.1)).stageChanged);
    EXPECT_TRUE(state.apply(makeRolloutUpdate(2, 1, 0.4)).stageChanged);
    EXPECT_EQ(state.stage()->step, 1);
}

TEST(RolloutState, ReportsLoweredLimitsOfTheSameBuildOnly) {
    RolloutState state;
    EXPECT_FALSE(state.apply(makeRolloutUpdate(2, 1, 0.4)).buildWithLoweredLimit);
    EXPECT_FALSE(state.apply(makeRolloutUpdate(2, 1, 0.5)).buildWithLoweredLimit);
    EXPECT_EQ(state.apply(makeRolloutUpdate(2, 1, 0.2)).buildWithLoweredLimit,
              std::optional<BuildNumber>(2));
    EXPECT_FALSE(state.apply(makeRolloutUpdate(3, 0, 0.1)).buildWithLoweredLimit)
        << "another build";
}

TEST(RolloutState, FailedVoteChangesNothing) {
    RolloutState state;
    (void)state.apply(makeRolloutUpdate(2, 1, 0.4));
    const auto change = state.apply(makeRolloutUpdate(9, 9, 0, Outcome::timeout));
    EXPECT_FALSE(change.stageChanged);
    EXPECT_FALSE(change.buildWithLoweredLimit);
    EXPECT_EQ(state.stage()->build, 2);
}

}  // namespace
}  // namespace deckcart
