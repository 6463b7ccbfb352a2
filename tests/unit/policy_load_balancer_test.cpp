// Choice of an endpoint within a build.
#include <gtest/gtest.h>

#include <algorithm>

#include "../../src/policy/load_balancer.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

struct LoadBalancerTest : testing::Test {
    LoadBalancerTest() {
        std::vector<EndpointEntry> entries;
        for (const char *id : {"a", "b", "c", "d"})
            entries.push_back({id, 0, 0, 1, EndpointState::active, 1, {}});
        table.update(entries, random, 100s);
    }
    double score(const char *id) { return balancer.score(*table.find(id), latencies, 100s); }
    PolicySettings settings;
    SlowStart slowStart{settings};
    LoadBalancer balancer{settings, slowStart};
    RouteLatencies latencies{{{400ms, {}, {}, {}}}};
    RandomSource random{1};
    EndpointTable table;
};

TEST_F(LoadBalancerTest, TwoDifferentEligibleEndpointsAreDrawn) {
    for (int round = 0; round < 50; ++round) {
        const auto chosen =
            balancer.chooseTwo(table.active().at(1), random, false,
                               [&](const Endpoint &endpoint) { return endpoint.entry.id != "a"; });
        ASSERT_EQ(chosen.size(), 2U);
        EXPECT_NE(chosen[0], chosen[1]);
        EXPECT_EQ(std::ranges::count(chosen, table.find("a")), 0);
    }
}

TEST_F(LoadBalancerTest, TheEndpointWithFewerInFlightIsChosen) {
    table.find("a")->inFlight.insert({100s, 1, 0});
    EXPECT_DOUBLE_EQ(score("a"), 2 * score("b"));
    EXPECT_EQ(balancer.leastLoaded({table.find("a"), table.find("b")}, latencies, 100s),
              table.find("b"));
    EXPECT_EQ(balancer.leastLoaded({}, latencies, 100s), nullptr);
}

TEST_F(LoadBalancerTest, WeightAndZoneChangeTheScore) {
    table.find("b")->entry.weight = 2;
    EXPECT_DOUBLE_EQ(score("b"), score("a") / 2);
    settings.crossZoneCost = 0.5;
    table.find("c")->entry.zone = 1;
    EXPECT_DOUBLE_EQ(score("c"), score("a") * 3);
}

TEST_F(LoadBalancerTest, ReportedLoadCountsOnlyWhereGatewaysAreMany) {
    settings.inFlightReportField = 0;
    balancer.recordLoad(*table.find("a"), {9}, 100s);
    EXPECT_DOUBLE_EQ(score("a"), score("b"));
    settings.gateways = 16;
    balancer.recordLoad(*table.find("a"), {}, 100s);
    EXPECT_DOUBLE_EQ(score("a"), score("b"));
    balancer.recordLoad(*table.find("a"), {9}, 100s);
    EXPECT_DOUBLE_EQ(score("a"), 10 * score("b"));
}

}  // namespace
}  // namespace deckcart::policy
