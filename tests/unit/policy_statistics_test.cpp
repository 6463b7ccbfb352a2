// Quantiles, the comparison of two samples, and time-ordered queues.
#include <gtest/gtest.h>

#include "../../src/policy/statistics.hpp"
#include "../../src/policy/time_window.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

TEST(PolicyStatistics, AQuantileIsOneOfTheValues) {
    EXPECT_EQ(quantile({}, 0.5), 0);
    EXPECT_EQ(quantile({3, 1, 2}, 0.5), 2);
    EXPECT_EQ(quantile({4, 3, 2, 1}, 0.499), 2);
    EXPECT_EQ(quantile({1, 2, 3}, 1), 3);
}

TEST(PolicyStatistics, SlownessIsMeasuredBeyondTheFactor) {
    const std::vector<double> usual{0.9, 1, 1.1, 1};
    const std::vector<double> slow{2.7, 3, 3.3, 3};
    EXPECT_GT(standardErrorsSlower(slow, usual, 1.4, 4), 2);
    EXPECT_LT(standardErrorsSlower(slow, usual, 4, 4), 0);
    EXPECT_LT(standardErrorsSlower(usual, usual, 1.4, 4), 0);
}

TEST(PolicyStatistics, TooFewSamplesGiveNoResult) {
    EXPECT_EQ(standardErrorsSlower({9, 9, 9}, {1, 1, 1, 1}, 1.4, 4), 0);
    EXPECT_EQ(standardErrorsSlower({9, 9, 9, 9}, {1, 1, 1}, 1.4, 4), 0);
}

TEST(PolicyStatistics, AQueueDropsUpToAndIncludingTheTime) {
    TimedValues queue{{1s, 10}, {2s, 20}, {3s, 30}};
    double dropped = 0;
    dropUntil(queue, 2s, [&](const TimedValue &entry) { dropped += entry.value; });
    EXPECT_EQ(dropped, 30);
    EXPECT_EQ(valuesSince(queue, 0s), std::vector<double>{30});
    EXPECT_TRUE(valuesSince(queue, 4s).empty());
}

}  // namespace
}  // namespace deckcart::policy
