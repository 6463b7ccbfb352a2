// Tests which responses can be reported as incorrect, and that each is counted once.
#include "../../src/gateway/response_history.hpp"

#include <gtest/gtest.h>

namespace deckcart {
namespace {

using namespace std::chrono_literals;

TEST(ResponseHistory, OnlyTheFirstReportReturnsTheSource) {
    ResponseHistory history;
    history.add("r1", {"a", 5s}, 10);
    const auto first = history.reportIncorrect("r1");
    EXPECT_TRUE(first.known);
    ASSERT_TRUE(first.source);
    EXPECT_EQ(first.source->endpoint, "a");
    EXPECT_EQ(first.source->sentAt, TimePoint(5s));
    const auto second = history.reportIncorrect("r1");
    EXPECT_TRUE(second.known);
    EXPECT_FALSE(second.source);
}

TEST(ResponseHistory, UnknownAndUnkeptResponsesAreRejected) {
    ResponseHistory history;
    EXPECT_FALSE(history.reportIncorrect("r1").known);
    history.add("r1", {"a", 5s}, 0);
    EXPECT_FALSE(history.reportIncorrect("r1").known) << "a capacity of 0 keeps no response";
}

TEST(ResponseHistory, OldestResponsesAreDroppedFirst) {
    ResponseHistory history;
    for (const char *id : {"r1", "r2", "r3"})
        history.add(id, {"a", 5s}, 2);
    EXPECT_FALSE(history.reportIncorrect("r1").known);
    EXPECT_TRUE(history.reportIncorrect("r2").known);
    EXPECT_TRUE(history.reportIncorrect("r3").known);
}

TEST(ResponseHistory, FirstResponseOfARequestIdIsKept) {
    ResponseHistory history;
    history.add("r1", {"a", 5s}, 2);
    history.add("r1", {"b", 6s}, 2);
    history.add("r2", {"c", 7s}, 2);
    const auto report = history.reportIncorrect("r1");
    ASSERT_TRUE(report.source);
    EXPECT_EQ(report.source->endpoint, "a");
}

TEST(ResponseHistory, LowerCapacityTakesEffectGradually) {
    ResponseHistory history;
    history.add("r1", {"a", 5s}, 2);
    history.add("r2", {"a", 5s}, 2);
    history.add("r3", {"a", 5s}, 1);
    EXPECT_FALSE(history.reportIncorrect("r1").known);
    history.add("r4", {"a", 5s}, 0);
    EXPECT_FALSE(history.reportIncorrect("r2").known);
    EXPECT_FALSE(history.reportIncorrect("r4").known);
    EXPECT_TRUE(history.reportIncorrect("r3").known);
}

}  // namespace
}  // namespace deckcart
