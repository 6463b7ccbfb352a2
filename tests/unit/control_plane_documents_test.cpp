// Documents between a gateway and its control plane: reading returns what was written, and an
// invalid document is rejected with the name of the invalid field.
#include <gtest/gtest.h>

#include "../../src/control_plane/documents.hpp"

namespace deckcart {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

json endpointDocument() {
    return {{"id", "127.0.0.1:1"}, {"build", 2}, {"readiness", "live"}};
}
json stageDocument() {
    return {{"build", 2}, {"step", 1}, {"phase", "on-trial"}, {"cap", 0.25}, {"sinceMs", 1.5}};
}

/// The message of the ParseError that a reader throws for a document, and its field in `place`.
/// "read" if it throws none.
template <class Read>
std::string readError(Read read, const json &document, std::string &place) {
    try {
        (void)read(document);
    } catch (const ParseError &error) {
        place = error.location();
        return error.what();
    }
    return "read";
}

TEST(ControlPlaneDocuments, EndpointRoundTrips) {
    ListedEndpoint endpoint;
    endpoint.id = "127.0.0.1:1";
    endpoint.zone = "z";
    endpoint.cell = 3;
    endpoint.build = 2;
    endpoint.weight = 0.5;
    endpoint.incarnation = "i";
    endpoint.age = 1500us;
    for (const auto state :
         {EndpointState::active, EndpointState::draining, EndpointState::removed}) {
        endpoint.state = state;
        const json document = toJson(endpoint);
        const ListedEndpoint reread = readListedEndpoint(document);
        EXPECT_EQ(reread.state, state);
        EXPECT_EQ(reread.age, endpoint.age);
        EXPECT_EQ(toJson(reread), document);
    }
    EXPECT_EQ(toJson(endpoint).at("readiness"), "gone");
}

TEST(ControlPlaneDocuments, EndpointRequiresOnlyIdBuildAndReadiness) {
    const ListedEndpoint endpoint = readListedEndpoint(endpointDocument());
    EXPECT_EQ(endpoint.zone, "");
    EXPECT_EQ(endpoint.cell, 0);
    EXPECT_EQ(endpoint.weight, 1);
    EXPECT_FALSE(endpoint.age);
}

TEST(ControlPlaneDocuments, InvalidEndpointIsRejectedWithTheField) {
    struct Case {
        const char *field;
        json value;
        const char *error;
    };
    const std::vector<Case> cases = {
        {"id", 1, "field id is missing or has a wrong type"},
        {"build", "2", "field build is missing or has a wrong type"},
        {"readiness", "dead", "field readiness has an unknown value"},
        {"readiness", nullptr, "field readiness is missing or has a wrong type"},
        {"ageMs", "1", "field ageMs is missing or has a wrong type"},
    };
    for (const auto &bad : cases) {
        json document = endpointDocument();
        document[bad.field] = bad.value;
        std::string place;
        EXPECT_EQ(readError(readListedEndpoint, document, place), bad.error);
        EXPECT_EQ(place, bad.field);
    }
    for (const auto &[field, value] :
         {std::pair<const char *, json>{"weight", 0}, std::pair<const char *, json>{"id", ""}}) {
        json document = endpointDocument();
        document[field] = value;
        std::string place;
        EXPECT_EQ(readError(readListedEndpoint, document, place),
                  "field id is empty or field weight is not above 0");
    }
    std::string place;
    EXPECT_EQ(readError(readListedEndpoint, json::array(), place),
              "field id is missing or has a wrong type");
}

TEST(ControlPlaneDocuments, StageRoundTrips) {
    for (const auto phase : {RolloutPhase::canary, RolloutPhase::rollingBack,
                             RolloutPhase::released, RolloutPhase::rolledBack}) {
        const RolloutStage stage{2, 1, phase, 0.25, 1500us};
        const RolloutStage reread = readStage(toJson(stage));
        EXPECT_EQ(reread.build, 2);
        EXPECT_EQ(reread.step, 1);
        EXPECT_EQ(reread.phase, phase);
        EXPECT_EQ(reread.exposureLimit, 0.25);
        EXPECT_EQ(reread.age, 1500us);
    }
    EXPECT_EQ(toJson(RolloutStage{2, 1, RolloutPhase::canary, 0.25, 1500us}), stageDocument());
}

TEST(ControlPlaneDocuments, InvalidStageIsRejectedWithTheField) {
    for (const char *field : {"build", "step", "phase", "cap", "sinceMs"}) {
        json document = stageDocument();
        document.erase(field);
        std::string place;
        EXPECT_EQ(readError(readStage, document, place),
                  std::string("field ") + field + " is missing or has a wrong type");
        EXPECT_EQ(place, field);
    }
    json document = stageDocument();
    document["cap"] = 1.5;
    std::string place;
    EXPECT_EQ(readError(readStage, document, place),
              "field cap is not within 0 to 1 or field step is negative");
}

TEST(ControlPlaneDocuments, UsageReportOfUnknownRouteIsIgnored) {
    const json row{{"route", 1}, {"build", 2}, {"counted", 10}, {"lost", 3}, {"sinceMs", 2}};
    const auto report = readUsageReport(row, 2);
    ASSERT_TRUE(report);
    EXPECT_EQ(report->route, 1);
    EXPECT_EQ(report->build, 2);
    EXPECT_EQ(report->attempts, 10);
    EXPECT_EQ(report->failures, 3);
    EXPECT_EQ(report->age, 2ms);
    EXPECT_FALSE(readUsageReport(row, 1));
    EXPECT_FALSE(readUsageReport(json{{"route", -1}}, 1));
    EXPECT_THROW((void)readUsageReport(json{{"route", 0}}, 1), ParseError);
}

TEST(ControlPlaneDocuments, EveryVerdictHasAName) {
    for (const auto verdict : {Verdict::none, Verdict::promote, Verdict::hold, Verdict::rollBack})
        EXPECT_EQ(parseVerdict(nameOf(verdict)), verdict);
    EXPECT_STREQ(nameOf(Verdict::promote), "on");
    EXPECT_STREQ(nameOf(Verdict::rollBack), "back");
    EXPECT_FALSE(parseVerdict("promote"));
}

}  // namespace
}  // namespace deckcart
