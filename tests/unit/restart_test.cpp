// When the decision module may be restarted.
#include "../../src/membership/restart.hpp"
#include "merge_fixture.hpp"

namespace deckcart::test {
namespace {

TEST(ModuleRestart, NeedsAtMostOneLiveBuildAndNoCanary) {
    using membership::mayRestartPolicy;
    const auto entry = [](BuildNumber build, EndpointState state) {
        return makeClaim(1, build, state).entry;
    };
    EXPECT_TRUE(mayRestartPolicy({}, std::nullopt));
    EXPECT_TRUE(
        mayRestartPolicy({entry(1, EndpointState::active), entry(2, EndpointState::draining)},
                         RolloutPhase::released));
    EXPECT_FALSE(
        mayRestartPolicy({entry(1, EndpointState::active), entry(2, EndpointState::active)},
                         RolloutPhase::released));
    EXPECT_FALSE(mayRestartPolicy({entry(1, EndpointState::active)}, RolloutPhase::canary));
}

}  // namespace
}  // namespace deckcart::test
