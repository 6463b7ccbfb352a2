// Checks that state files written by commit a119355, in tests/data/stored, can still be read with
// all their values. The README.md there describes how they were made.
#include <gtest/gtest.h>

#include <algorithm>

#include "../../src/base/snapshot.hpp"
#include "../../src/gateway/gateway.hpp"
#include "../../src/settings/gateway_settings.hpp"

namespace deckcart {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

// Format number of the stored files; files with another number are not read.
constexpr int kFormat = 1;

/// Works on a copy of the stored files, since an unreadable file would be renamed in place.
class StoredData : public testing::Test {
  protected:
    void SetUp() override {
        folder = std::filesystem::path(testing::TempDir()) /
                 ("stored-" + std::to_string(::getpid()) + "-" +
                  testing::UnitTest::GetInstance()->current_test_info()->name());
        std::filesystem::copy(DECKCART_STORED_DATA, folder,
                              std::filesystem::copy_options::recursive |
                                  std::filesystem::copy_options::overwrite_existing);
    }
    void TearDown() override { std::filesystem::remove_all(folder); }

    json read(const char *name) {
        const auto snapshot = readSnapshot(folder / name, kFormat);
        EXPECT_EQ(snapshot.error, "") << name;
        return snapshot.document.value_or(json::object());
    }
    GatewaySettings settings(const char *name) {
        auto parsed = parseSettings(read(name).at("settings"));
        EXPECT_TRUE(parsed.settings) << toJson(parsed.refused);
        return parsed.settings.value_or(GatewaySettings{});
    }

    std::filesystem::path folder;
};

Duration fromMilliseconds(double value) {
    return Duration{std::llround(value * 1000)};
}

TEST_F(StoredData, SettingsOfTheRequestPath) {
    const GatewaySettings read = settings("list/settings.json");
    EXPECT_EQ(read.id, "g1");
    EXPECT_EQ(read.zones, (std::vector<std::string>{"z1", "z2"}));
    ASSERT_EQ(read.routes.size(), 3u);
    EXPECT_EQ(read.routes[0].name, "status");
    EXPECT_EQ(read.routes[0].method, "GET");
    EXPECT_EQ(read.routes[0].pathPrefix, "/status");
    EXPECT_EQ(read.routes[0].routeTimeout, 2500ms);
    EXPECT_EQ(read.routes[1].method, "POST");
    EXPECT_EQ(read.routes[2].method, "");
    EXPECT_EQ(read.routes[2].routeTimeout, 4000ms);
    EXPECT_EQ(read.tenants, (std::vector<std::string>{"alpha", "beta"}));
    EXPECT_EQ(read.headers.key, "X-Sticky");
    EXPECT_EQ(read.headers.tenant, "X-Tenant");
    EXPECT_EQ(read.headers.remainingTime, "X-Left-Ms");
    EXPECT_EQ(read.headers.requestId, "X-Id");
    EXPECT_EQ(read.headers.overloaded, "X-Full");
    EXPECT_EQ(read.headers.load, "X-Load-Now");
    EXPECT_EQ(read.listener.connections, 500u);
    EXPECT_EQ(read.maxRequestsInFlight, 2000u);
    EXPECT_EQ(read.listener.headBytes, 8192u);
    EXPECT_EQ(read.listener.bodyBytes, 65536u);
    EXPECT_EQ(read.listener.pipelinedBytes, 32768u);
    EXPECT_EQ(read.listener.waitingBytes, 262144u);
    EXPECT_EQ(read.listener.messageWithin, 9000ms);
    EXPECT_EQ(read.listener.idleFor, 30000ms);
    EXPECT_EQ(read.listener.slowPeerFor, 8000ms);
    EXPECT_EQ(read.responseMargin, 40ms);
    EXPECT_EQ(read.stallThreshold, 250ms);
    EXPECT_EQ(read.upstream.maxConnectionsPerEndpoint, 64u);
    EXPECT_EQ(read.upstream.connectTimeout, 200ms);
    EXPECT_EQ(read.upstream.idleTimeout, 12000ms);
    EXPECT_EQ(read.upstream.streamStallTimeout, 9000ms);
    EXPECT_EQ(read.upstream.bufferedResponseBytes, 32768u);
    EXPECT_EQ(read.upstream.probeTimeout, 400ms);
    EXPECT_EQ(read.upstream.probePath, "/health");
    ASSERT_TRUE(read.controlPlane);
    EXPECT_EQ(read.controlPlane->address.port(), 39871);
    EXPECT_EQ(read.controlPlane->listTimeout, 700ms);
    EXPECT_EQ(read.controlPlane->watchSilenceTimeout, 2500ms);
    EXPECT_EQ(read.requestLogSample, 0.5);
    EXPECT_FALSE(read.sources);
}

TEST_F(StoredData, SettingsOfTheDecisionModule) {
    const PolicySettings module = settings("list/settings.json").policy;
    EXPECT_EQ(module.gateways, 3);
    EXPECT_EQ(module.zone, 1);
    ASSERT_EQ(module.routes.size(), 3u);
    EXPECT_EQ(module.routes[0].idempotency, Idempotency::idempotent);
    EXPECT_EQ(module.routes[0].latencyObjective, 800ms);
    EXPECT_EQ(module.routes[1].idempotency, Idempotency::withKey);
    EXPECT_EQ(module.routes[1].deduplicationScope, DeduplicationScope::cell);
    EXPECT_EQ(module.routes[1].deduplicationWindow, 60000ms);
    EXPECT_EQ(module.routes[2].idempotency, Idempotency::nonIdempotent);
    EXPECT_EQ(module.tenantQuotas, (std::vector<double>{0.5, 0.25}));
    EXPECT_TRUE(module.hedgingAllowed);
    EXPECT_FALSE(module.cancellationAllowed);
    EXPECT_EQ(module.maxAttempts, 5);
    EXPECT_EQ(module.maxRetryAfter, 1500ms);
    EXPECT_EQ(module.maxSendDelay, 200ms);
    EXPECT_TRUE(module.retryAfterSupported);
    EXPECT_TRUE(module.subscriptionRequired);
    EXPECT_EQ(module.subscribeWithin, 9000ms);
    EXPECT_EQ(module.crossZoneCost, 0.2);
    EXPECT_EQ(module.inFlightReportField, 1);
    EXPECT_EQ(module.initialCapacity, 0.25);
    EXPECT_EQ(module.warmUpTime, 6000ms);
    EXPECT_EQ(module.overloadMultiple, 3);
    EXPECT_EQ(module.overloadWindow, 3500ms);
    EXPECT_EQ(module.promotionRule, PromotionRule::timer);
    EXPECT_TRUE(module.inPlaceReplacement);
    EXPECT_TRUE(module.exposurePerRoute);
    EXPECT_TRUE(module.stickyKeys);
    EXPECT_EQ(module.idempotentOnlyStages, 1);
    EXPECT_EQ(module.exposureAllowance, 4);
    EXPECT_EQ(module.exposureWindow, 4500ms);
    EXPECT_EQ(module.exposureLimits, (std::vector<double>{0.2, 0.5, 1}));
    EXPECT_EQ(module.stageShares, (std::vector<double>{0.1, 0.3, 1}));
    EXPECT_EQ(module.voteLifetime, 7000ms);
    EXPECT_EQ(module.voteTimeout, 750ms);
    EXPECT_EQ(module.votesToRollBack, 2);
    EXPECT_EQ(module.incorrectReportRate, 0.125);
}

TEST_F(StoredData, SettingsOfTheSources) {
    const GatewaySettings read = settings("sources/settings.json");
    ASSERT_TRUE(read.sources);
    const auto &merge = read.sources->merge;
    EXPECT_EQ(merge.maxStaleness, 1800000ms);
    EXPECT_EQ(merge.confirmFraction, 0.4);
    EXPECT_EQ(merge.confirmAfter, 4000ms);
    EXPECT_EQ(merge.grace, 20000ms);
    EXPECT_EQ(merge.reserveBelow, 2);
    EXPECT_EQ(merge.reserveUntil, 4);
    ASSERT_EQ(merge.sources.size(), 3u);
    EXPECT_EQ(merge.sources[0].kind, membership::SourceKind::nodes);
    EXPECT_EQ(merge.sources[1].kind, membership::SourceKind::controlPlane);
    EXPECT_EQ(merge.sources[2].kind, membership::SourceKind::srv);
    const auto &nodes = read.sources->staticEndpoints;
    ASSERT_EQ(nodes.size(), 2u);
    EXPECT_EQ(nodes[0].entry.id, "127.0.0.1:9101");
    EXPECT_EQ(nodes[0].entry.zone, 1);
    EXPECT_EQ(nodes[0].entry.cell, 3);
    EXPECT_EQ(nodes[0].entry.weight, 2.5);
    EXPECT_EQ(nodes[1].entry.id, "[::1]:9102");
    EXPECT_EQ(nodes[1].entry.build, 2);
    const auto &names = read.sources->srvNames;
    ASSERT_EQ(names.size(), 1u);
    EXPECT_EQ(names[0].name, merge.sources[2].name);
    EXPECT_EQ(names[0].cell, 4);
    EXPECT_EQ(names[0].zone, 0);
    const auto &resolver = read.sources->resolver;
    ASSERT_EQ(resolver.servers.size(), 1u);
    EXPECT_EQ(resolver.servers[0].port(), 39872);
    EXPECT_EQ(resolver.refresh.floor, 2000ms);
    EXPECT_EQ(resolver.refresh.ceiling, 400000ms);
    EXPECT_EQ(resolver.refresh.negativeCeiling, 30000ms);
    EXPECT_EQ(resolver.questionsPerSecond, 20);
    EXPECT_EQ(resolver.inFlight, 16);
}

TEST_F(StoredData, EndpointList) {
    const json document = read("list/list.json");
    EXPECT_EQ(document.at("savedMs").get<std::int64_t>(), 1796254103741);
    std::vector<ListedEndpoint> list;
    for (const auto &entry : document.at("instances"))
        list.push_back(readListedEndpoint(entry));
    ASSERT_EQ(list.size(), 5u);
    EXPECT_EQ(list[0].id, "127.0.0.1:9001");
    EXPECT_EQ(list[0].zone, "z2");
    EXPECT_EQ(list[0].cell, 2);
    EXPECT_EQ(list[0].build, 2);
    EXPECT_EQ(list[0].state, EndpointState::active);
    EXPECT_EQ(list[0].weight, 0.5);
    EXPECT_EQ(list[0].incarnation, "");
    EXPECT_EQ(list[0].age, fromMilliseconds(126016.101));
    EXPECT_EQ(list[1].state, EndpointState::draining);
    EXPECT_EQ(list[1].age, fromMilliseconds(7559.31));
    EXPECT_EQ(list[2].cell, 1);
    EXPECT_EQ(list[3].id, "127.0.0.1:9006");
    EXPECT_FALSE(list[3].age);
    // Writing the list again must give the same document.
    json rewritten = json::array();
    for (const auto &endpoint : list)
        rewritten.push_back(toJson(endpoint));
    EXPECT_EQ(rewritten, document.at("instances"));
}

TEST_F(StoredData, SourcesOfTheList) {
    const json document = read("sources/sources.json");
    const Duration now = 10h;
    const Duration passed = 2s;
    const auto sources = readSavedSources(document.at("sources"), now, passed);
    const auto before = [&](double milliseconds) {
        return now - passed - fromMilliseconds(milliseconds);
    };
    ASSERT_EQ(sources.size(), 2u);
    EXPECT_EQ(sources[0].name, "nodes");
    EXPECT_EQ(sources[0].reporter, "settings");
    EXPECT_EQ(sources[0].readAt, before(2652.352));
    EXPECT_EQ(sources[0].lifetime, membership::kUnlimitedLifetime);
    ASSERT_EQ(sources[0].listed.size(), 2u);
    {
        const auto &[claim, since] = sources[0].listed[0];
        EXPECT_EQ(claim.entry.id, "127.0.0.1:9101");
        EXPECT_EQ(claim.entry.zone, 1);
        EXPECT_EQ(claim.entry.cell, 3);
        EXPECT_EQ(claim.entry.build, 1);
        EXPECT_EQ(claim.entry.weight, 2.5);
        EXPECT_FALSE(claim.entry.startedAt);
        EXPECT_EQ(claim.listedAs, "127.0.0.1:9101");
        EXPECT_EQ(claim.priority, membership::kNoPriorityClass);
        EXPECT_EQ(since, before(2652.352));
    }
    EXPECT_EQ(sources[1].name, "desk");
    EXPECT_EQ(sources[1].reporter, "desk");
    EXPECT_EQ(sources[1].readAt, before(1131.996));
    ASSERT_EQ(sources[1].listed.size(), 5u);
    {
        const auto &[claim, since] = sources[1].listed[0];
        EXPECT_EQ(claim.entry.id, "127.0.0.1:9001");
        EXPECT_EQ(claim.entry.startedAt, before(126072.583));
        EXPECT_EQ(since, before(2615.783));
    }
    {
        const auto &[claim, since] = sources[1].listed[1];
        EXPECT_EQ(claim.entry.state, EndpointState::draining);
        EXPECT_EQ(since, before(1131.996));
    }
    ASSERT_EQ(sources[1].stopNotices.size(), 1u);
    {
        const auto &[state, since] = sources[1].stopNotices.at("127.0.0.1:9002");
        EXPECT_EQ(state, EndpointState::draining);
        EXPECT_EQ(since, before(2255.421));
    }
    ASSERT_EQ(sources[1].withdrawn.size(), 1u);
    EXPECT_EQ(sources[1].withdrawn.at("127.0.0.1:9004"), before(1131.996));
    // Writing the sources again must give the same document.
    EXPECT_EQ(toJson(sources, now - passed), document.at("sources"));
}

}  // namespace
}  // namespace deckcart
