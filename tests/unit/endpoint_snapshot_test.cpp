// What is known of the endpoint list and the rollout after each kind of update, and which idle
// connections are closed by it.
#include "../../src/gateway/endpoint_snapshot.hpp"

#include <gtest/gtest.h>

namespace deckcart {
namespace {

class ClosingPool : public UpstreamPool {
  public:
    std::shared_ptr<UpstreamCall> take(const EndpointId & /*endpoint*/) override { return nullptr; }
    void closeIdle(const EndpointId &endpoint) override { closed.push_back(endpoint); }
    void sweep(Duration /*now*/) override {}
    void probe(const EndpointId & /*endpoint*/, ProbeCallback /*done*/) override {}
    std::vector<EndpointId> closed;
};

EndpointEntry entry(const EndpointId &id, BuildNumber build,
                    EndpointState state = EndpointState::active) {
    EndpointEntry made;
    made.id = id;
    made.build = build;
    made.state = state;
    return made;
}

RolloutUpdate rollout(BuildNumber build, int step, double exposureLimit,
                      Outcome outcome = Outcome::ok) {
    return {false, outcome, build, step, RolloutPhase::canary, exposureLimit, {}};
}

TEST(EndpointSnapshot, AWholeListReplacesTheOneBefore) {
    EndpointSnapshot snapshot;
    ClosingPool pool;
    snapshot.apply({true, {entry("a", 1), entry("b", 1)}}, pool);
    EXPECT_TRUE(pool.closed.empty());
    snapshot.apply({true, {entry("b", 2), entry("c", 1)}}, pool);
    EXPECT_EQ(pool.closed, std::vector<EndpointId>{"a"});
    EXPECT_FALSE(snapshot.find("a"));
    EXPECT_TRUE(snapshot.isActive("b", 2));
    EXPECT_FALSE(snapshot.isActive("b", 1)) << "it runs another build now";
    EXPECT_EQ(snapshot.entries().size(), 2U);
}

TEST(EndpointSnapshot, APartialUpdateLeavesTheOthers) {
    EndpointSnapshot snapshot;
    ClosingPool pool;
    snapshot.apply({true, {entry("a", 1), entry("b", 1), entry("c", 1)}}, pool);
    snapshot.apply(
        {false, {entry("a", 1, EndpointState::draining), entry("b", 1, EndpointState::removed)}},
        pool);
    EXPECT_EQ(pool.closed, (std::vector<EndpointId>{"a", "b"}));
    EXPECT_FALSE(snapshot.isActive("a", 1));
    EXPECT_TRUE(snapshot.find("a")) << "it is listed until it is removed";
    EXPECT_FALSE(snapshot.find("b"));
    EXPECT_TRUE(snapshot.isActive("c", 1));
    EXPECT_EQ(snapshot.lastDraining(), "a");
}

TEST(RolloutState, TellsWhatHasMoved) {
    RolloutState state;
    EXPECT_FALSE(state.stage());
    EXPECT_TRUE(state.apply(rollout(2, 0, 0.1)).stageMoved) << "the first one";
    EXPECT_FALSE(state.apply(rollout(2, 0, 0.1)).stageMoved);
    EXPECT_TRUE(state.apply(rollout(2, 1, 0.4)).stageMoved);
    EXPECT_EQ(state.stage()->step, 1);
}

TEST(RolloutState, OnlyALowerLimitOfTheSameBuildIsLowered) {
    RolloutState state;
    EXPECT_FALSE(state.apply(rollout(2, 1, 0.4)).loweredBuild);
    EXPECT_FALSE(state.apply(rollout(2, 1, 0.5)).loweredBuild);
    EXPECT_EQ(state.apply(rollout(2, 1, 0.2)).loweredBuild, std::optional<BuildNumber>(2));
    EXPECT_FALSE(state.apply(rollout(3, 0, 0.1)).loweredBuild) << "another build";
}

TEST(RolloutState, AVoteThatFailedChangesNothing) {
    RolloutState state;
    (void)state.apply(rollout(2, 1, 0.4));
    const auto change = state.apply(rollout(9, 9, 0, Outcome::timeout));
    EXPECT_FALSE(change.stageMoved);
    EXPECT_FALSE(change.loweredBuild);
    EXPECT_EQ(state.stage()->build, 2);
}

}  // namespace
}  // namespace deckcart
