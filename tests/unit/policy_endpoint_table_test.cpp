// Endpoint records: effects of list updates, retention and ejection.
#include <gtest/gtest.h>

#include "../../src/policy/endpoint_table.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

EndpointEntry entry(const EndpointId &id, BuildNumber build,
                    EndpointState state = EndpointState::active) {
    return {id, 0, 0, build, state, 1, {}};
}

struct EndpointTableTest : testing::Test {
    EndpointTable table;
    RandomSource random{1};
};

TEST_F(EndpointTableTest, OnlyActiveEndpointsAreFoundByBuild) {
    table.update({entry("a", 1), entry("b", 2), entry("c", 2, EndpointState::draining)}, random,
                 100s);
    ASSERT_EQ(table.active().size(), 2U);
    EXPECT_EQ(table.active().at(2), std::vector<Endpoint *>{table.find("b")});
    EXPECT_TRUE(table.contains("c"));
}

TEST_F(EndpointTableTest, ARemovedEndpointIsDroppedAfterTheRetentionUnlessReferenced) {
    table.update({entry("a", 1)}, random, 100s);
    table.markAllRemoved(100s);
    const auto never = [](const Endpoint &) { return false; };
    table.dropRemoved(5s, 105s, never);
    EXPECT_TRUE(table.contains("a"));
    table.dropRemoved(5s, 106s, [](const Endpoint &) { return true; });
    EXPECT_TRUE(table.contains("a"));
    table.dropRemoved(5s, 106s, never);
    EXPECT_FALSE(table.contains("a"));
}

TEST_F(EndpointTableTest, AChangedBuildResetsTheRecordAndThePreviousBuildIsKept) {
    table.update({entry("a", 1)}, random, 100s);
    table.find("a")->latency.record(9, 100s);
    table.update({entry("a", 2)}, random, 110s);
    EXPECT_EQ(table.find("a")->latency.current(110s), 1);
    EXPECT_EQ(table.find("a")->buildAt(109s), 1);
    EXPECT_EQ(table.find("a")->buildAt(110s), 2);
}

TEST_F(EndpointTableTest, AnAttemptInFlightCountsAsSlowness) {
    const RouteLatencies latencies({{400ms, {}, {}, {}}});
    table.update({entry("a", 1)}, random, 100s);
    Endpoint &endpoint = *table.find("a");
    endpoint.inFlight.insert({100s, 1, 0});
    EXPECT_DOUBLE_EQ(endpoint.slowness(latencies, 100s), 1);
    EXPECT_DOUBLE_EQ(endpoint.slowness(latencies, 101s), 5);
}

TEST_F(EndpointTableTest, UnansweredAttemptsEjectALimitedPartOfABuild) {
    table.update({entry("a", 1), entry("b", 1), entry("c", 1)}, random, 100s);
    for (const char *id : {"a", "b"}) {
        table.recordUnanswered(*table.find(id), 100s);
        table.recordUnanswered(*table.find(id), 100s);
    }
    EXPECT_TRUE(table.find("a")->health.ejected(100s));
    EXPECT_FALSE(table.find("b")->health.ejected(100s));
}

}  // namespace
}  // namespace deckcart::policy
