// Parsing of the settings document: a valid document is read as given, an invalid one is refused
// with the path of the invalid field.
#include <gtest/gtest.h>

#include <algorithm>

#include "../../src/settings/gateway_settings.hpp"

namespace deckcart {
namespace {

using nlohmann::json;

json settings() {
    return json::parse(R"({
      "gateway": {"id": "g1", "count": 3, "zone": "a"}, "zones": ["a", "b"],
      "desk": {"address": "127.0.0.1:9"},
      "routes": [
        {"name": "status", "method": "GET", "pathPrefix": "/status", "effect": "retriable",
         "latencyObjectiveMs": 800, "routeTimeoutMs": 2500},
        {"name": "send", "pathPrefix": "/send", "effect": "deduped", "repeatWindowMs": 5000,
         "latencyObjectiveMs": 2000, "routeTimeoutMs": 8000}],
      "release": {"caps": [0.1, 1], "shares": [0.1, 1], "votesToGoBack": 2}})");
}

TEST(Settings, ValidDocumentIsRead) {
    const auto read = parseSettings(settings());
    ASSERT_TRUE(read.settings);
    EXPECT_EQ(read.settings->policy.routes.at(1).idempotency, Idempotency::withKey);
    EXPECT_EQ(read.settings->policy.routes.at(1).deduplicationWindow, std::chrono::seconds(5));
    EXPECT_EQ(read.settings->routes.at(0).routeTimeout, std::chrono::milliseconds(2500));
    EXPECT_EQ(read.settings->policy.gateways, 3);
    EXPECT_TRUE(read.settings->policy.subscriptionRequired);
}

TEST(Settings, InvalidFieldsAreRefusedWithTheirPath) {
    const std::vector<std::tuple<const char *, json, const char *>> bad = {
        // the field that is set, its value, and the expected path (nullptr: accepted)
        {"/routes/0/latencyObjectiveMs", 3000, "/routes/0/latencyObjectiveMs"},
        {"/routes/0/routeTimeoutMs", 0, "/routes/0/routeTimeoutMs"},
        {"/routes/0/routeTimeoutMs", "2 s", "/routes/0/routeTimeoutMs"},
        {"/routes/0/repeatWindowMs", 10, "/routes/0"},
        {"/routes/0/pathPrefix", "status", "/routes/0/pathPrefix"},
        {"/routes/1/name", "status", "/routes/1/name"},
        {"/routes/1/pathPrefix", "/status/x", nullptr},  // accepted: /routes/0 has another method
        {"/routes/0/method", "get", "/routes/0/method"},
        {"/routes/0/effect", "safe", "/routes/0/effect"},
        {"/routes", json::array(), "/routes"},
        {"/gateway/zone", "c", "/gateway/zone"},
        {"/gateway/index", 0, "/gateway"},  // a field that the schema no longer has
        {"/gateway/id", "a b", "/gateway/id"},
        {"/desk/address", "relay:x", "/desk/address"},
        {"/desk/address", "relay.example.org:80", "/desk/address"},
        {"/release/caps", json::array({0.1, 0.5, 1}), "/release/caps"},
        {"/release/caps", json::array({0.5, 0.1}), "/release/caps"},
        {"/release/caps", json::array({0.1, 1.5}), "/release/caps/1"},
        {"/release/votesToGoBack", 4, "/release/votesToGoBack"},
        {"/release/voteAnswerWithinMs", 7000, "/release/voteAnswerWithinMs"},
        {"/rules", {{"coldFrom", 0}}, "/rules/coldFrom"},
        {"/headers", {{"key", "Connection"}}, "/headers/key"},
        {"/headers", {{"key", "X Key"}}, "/headers/key"},
        {"/headers", {{"key", "x-account"}}, "/headers/account"},
        {"/accounts",
         json::array({{{"name", "a"}, {"share", 0.9}}, {{"name", "b"}, {"share", 0.9}}}),
         "/accounts"},
        {"/limits", {{"headBytes", 10}}, "/limits/headBytes"},
        {"/limits", {{"answerMarginMs", 2000}}, "/routes/0/routeTimeoutMs"},
        // an unknown section
        {"/peers", {{"listen", "127.0.0.1:0"}, {"known", json::array()}}, ""},
        {"/sources", json::object(), nullptr},
        {"/sources", {{"deskList", false}}, "/sources"},
        {"/sources",
         {{"nodes", {{{"address", "relay:80"}, {"build", 1}}}}},
         "/sources/nodes/0/address"},
        {"/sources",
         {{"nodes", {{{"address", "127.0.0.1:1"}, {"build", 1}, {"zone", "moon"}}}}},
         "/sources/nodes/0/zone"},
        {"/sources",
         {{"srv", {{"names", {{{"name", "a b"}, {"build", 1}}}}, {"servers", {"127.0.0.1:53"}}}}},
         "/sources/srv/names/0/name"},
        {"/sources",
         {{"srv", {{"names", {{{"name", "a"}, {"build", 1}}}}, {"servers", {"127.0.0.1:0"}}}}},
         "/sources/srv/servers/0"},
        {"/sources",
         {{"nodes", {{{"address", "127.0.0.1:1"}, {"build", 1}}}},
          {"reserveBelow", 3},
          {"reserveUntil", 2}},
         "/sources/reserveUntil"},
        {"/sources",
         {{"nodes", {{{"address", "127.0.0.1:1"}, {"build", 1}}}}, {"precedence", {"srv", "srv"}}},
         "/sources/precedence"},
        {"/unknown", 1, ""},
    };
    for (const auto &[pointer, value, expectedPath] : bad) {
        json document = settings();
        document[json::json_pointer(pointer)] = value;
        const auto read = parseSettings(document);
        const char *const path = expectedPath;
        if (!expectedPath) {
            EXPECT_TRUE(read.settings) << pointer;
            continue;
        }
        EXPECT_FALSE(read.settings) << pointer << " " << value;
        EXPECT_TRUE(std::ranges::any_of(read.refused,
                                        [&](const ValidationError &refusal) {
                                            return refusal.path == path && !refusal.reason.empty();
                                        }))
            << pointer << " " << value << " gave " << toJson(read.refused);
    }
    json shadowed = settings();
    shadowed["routes"].push_back(shadowed["routes"][1]);
    shadowed["routes"][2]["name"] = "other";
    EXPECT_EQ(parseSettings(shadowed).refused.at(0).path, "/routes/2");
    json noWindow = settings();
    noWindow["routes"][1].erase("repeatWindowMs");
    EXPECT_EQ(parseSettings(noWindow).refused.at(0).path, "/routes/1/repeatWindowMs");
}

TEST(Settings, OnlyChangesToPolicySettingsRequireANewModule) {
    json other = settings();
    other["limits"] = {{"reqsInHand", 10}};
    EXPECT_TRUE(samePolicySettings(settings(), other));
    other["upstream"]["idleMs"] = 100;
    EXPECT_TRUE(samePolicySettings(settings(), other));
    other["upstream"]["connectWithinMs"] = 100;
    EXPECT_FALSE(samePolicySettings(settings(), other))
        << "the decision module reserves this time before a retry";
    other = settings();
    other["release"]["spareTries"] = 7;
    EXPECT_FALSE(samePolicySettings(settings(), other));
}

TEST(Settings, AllViolationsAreReported) {
    json document = settings();
    document["routes"][0]["latencyObjectiveMs"] = 3000;
    document["zones"] = {"a", "a"};
    document["headers"]["account"] = "X-Key";
    document["release"]["votesToGoBack"] = 4;
    document["sources"] = {{"nodes", {{{"address", "127.0.0.1:1"}, {"build", 1}}}},
                           {"reserveBelow", 3},
                           {"reserveUntil", 2}};
    const auto parsed = parseSettings(document);
    EXPECT_FALSE(parsed.settings);
    std::vector<std::string> paths;
    for (const auto &refusal : parsed.refused)
        paths.push_back(refusal.path);
    // In the order in which the sections are read.
    EXPECT_EQ(paths, (std::vector<std::string>{"/zones", "/routes/0/latencyObjectiveMs",
                                               "/headers/account", "/release/votesToGoBack",
                                               "/sources/reserveUntil"}));
}

TEST(Settings, MissingFieldsHaveTheDocumentedDefaults) {
    json document = settings();
    document.erase("release");
    const auto parsed = parseSettings(document);
    ASSERT_TRUE(parsed.settings);
    const PolicySettings &module = parsed.settings->policy;
    EXPECT_EQ(module.promotionRule, PromotionRule::quorum);
    EXPECT_EQ(module.exposureLimits, (std::vector<double>{0.1, 0.4, 1}));
    EXPECT_EQ(module.stageShares, (std::vector<double>{0.1, 0.4, 1}));
    EXPECT_EQ(module.voteLifetime, std::chrono::seconds(6));
    EXPECT_EQ(module.voteTimeout, std::chrono::milliseconds(800));
    EXPECT_EQ(module.maxAttempts, 4);
    EXPECT_TRUE(module.cancellationAllowed);
    EXPECT_EQ(module.initialCapacity, 0.3);
    EXPECT_EQ(module.maxSendDelay, parsed.settings->upstream.connectTimeout);
    EXPECT_EQ(parsed.settings->controlPlane->listTimeout, std::chrono::seconds(1));
    EXPECT_EQ(parsed.settings->controlPlane->watchSilenceTimeout, std::chrono::seconds(3));
}

TEST(Settings, KindsLeftOutOfPrecedenceComeLast) {
    json document = settings();
    document["sources"] = {{"nodes", {{{"address", "127.0.0.1:1"}, {"build", 1}}}},
                           {"precedence", {"nodes"}}};
    const auto parsed = parseSettings(document);
    ASSERT_TRUE(parsed.settings);
    const auto &sources = parsed.settings->sources->merge.sources;
    ASSERT_EQ(sources.size(), 2u);
    EXPECT_EQ(sources[0].kind, membership::SourceKind::nodes);
    EXPECT_EQ(sources[1].kind, membership::SourceKind::controlPlane);
}

}  // namespace
}  // namespace deckcart
