// The documents between a gateway and its control plane: what is written is read again, and a bad
// one is refused with the field at fault.
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

/// What a reader throws of a document, and at which field.
template <class Read>
std::string faultOf(Read read, const json &document, std::string &place) {
    try {
        (void)read(document);
    } catch (const ParseError &fault) {
        place = fault.place();
        return fault.what();
    }
    return "read";
}

TEST(ControlPlaneDocuments, AnEndpointIsReadAsWritten) {
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
        const ListedEndpoint again = readListedEndpoint(document);
        EXPECT_EQ(again.state, state);
        EXPECT_EQ(again.age, endpoint.age);
        EXPECT_EQ(toJson(again), document);
    }
    EXPECT_EQ(toJson(endpoint).at("readiness"), "gone");
}

TEST(ControlPlaneDocuments, AnEndpointNeedsNoMoreThanIdBuildAndReadiness) {
    const ListedEndpoint endpoint = readListedEndpoint(endpointDocument());
    EXPECT_EQ(endpoint.zone, "");
    EXPECT_EQ(endpoint.cell, 0);
    EXPECT_EQ(endpoint.weight, 1);
    EXPECT_FALSE(endpoint.age);
}

TEST(ControlPlaneDocuments, ABadEndpointIsRefusedWithTheField) {
    struct Case {
        const char *field;
        json value;
        const char *fault;
    };
    const std::vector<Case> cases = {
        {"id", 1, "field id is missing or has a wrong type"},
        {"build", "2", "field build is missing or has a wrong type"},
        {"readiness", "dead", "field readiness holds an unknown word"},
        {"readiness", nullptr, "field readiness is missing or has a wrong type"},
        {"ageMs", "1", "field ageMs is missing or has a wrong type"},
    };
    for (const auto &bad : cases) {
        json document = endpointDocument();
        document[bad.field] = bad.value;
        std::string place;
        EXPECT_EQ(faultOf(readListedEndpoint, document, place), bad.fault);
        EXPECT_EQ(place, bad.field);
    }
    for (const auto &[field, value] :
         {std::pair<const char *, json>{"weight", 0}, std::pair<const char *, json>{"id", ""}}) {
        json document = endpointDocument();
        document[field] = value;
        std::string place;
        EXPECT_EQ(faultOf(readListedEndpoint, document, place),
                  "field id or weight is out of range");
    }
    std::string place;
    EXPECT_EQ(faultOf(readListedEndpoint, json::array(), place),
              "field id is missing or has a wrong type");
}

TEST(ControlPlaneDocuments, AStageIsReadAsWritten) {
    for (const auto phase : {RolloutPhase::canary, RolloutPhase::rollingBack,
                             RolloutPhase::released, RolloutPhase::rolledBack}) {
        const RolloutStage stage{2, 1, phase, 0.25, 1500us};
        const RolloutStage again = readStage(toJson(stage));
        EXPECT_EQ(again.build, 2);
        EXPECT_EQ(again.step, 1);
        EXPECT_EQ(again.phase, phase);
        EXPECT_EQ(again.exposureLimit, 0.25);
        EXPECT_EQ(again.age, 1500us);
    }
    EXPECT_EQ(toJson(RolloutStage{2, 1, RolloutPhase::canary, 0.25, 1500us}), stageDocument());
}

TEST(ControlPlaneDocuments, ABadStageIsRefusedWithTheField) {
    for (const char *field : {"build", "step", "phase", "cap", "sinceMs"}) {
        json document = stageDocument();
        document.erase(field);
        std::string place;
        EXPECT_EQ(faultOf(readStage, document, place),
                  std::string("field ") + field + " is missing or has a wrong type");
        EXPECT_EQ(place, field);
    }
    json document = stageDocument();
    document["cap"] = 1.5;
    std::string place;
    EXPECT_EQ(faultOf(readStage, document, place), "field cap or step is out of range");
}

TEST(ControlPlaneDocuments, AUsageReportOfAnUnknownRouteIsPassedOver) {
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

TEST(ControlPlaneDocuments, EveryVerdictHasItsWord) {
    for (const auto verdict : {Verdict::none, Verdict::promote, Verdict::hold, Verdict::rollBack})
        EXPECT_EQ(verdictNamed(nameOf(verdict)), verdict);
    EXPECT_STREQ(nameOf(Verdict::promote), "on");
    EXPECT_STREQ(nameOf(Verdict::rollBack), "back");
    EXPECT_FALSE(verdictNamed("promote"));
}

}  // namespace
}  // namespace deckcart
