// Counting of events in a sliding window.
#include <gtest/gtest.h>

#include "../../src/policy/event_window.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

TEST(EventWindowTest, CountsEachEventUntilItIsDropped) {
    EventWindow window(4s);
    for (int second = 1; second <= 10; ++second)
        window.add(Duration{second * 1s});
    EXPECT_EQ(window.count(), 10);
    window.dropUntil(4s);
    EXPECT_EQ(window.count(), 6) << "an event at the limit is dropped too";
    window.dropUntil(10s);
    EXPECT_EQ(window.count(), 0);
    EXPECT_EQ(window.entryCount(), 0u);
}

TEST(EventWindowTest, KeepsEachEventByItselfAtUsualRates) {
    EventWindow window(4s);
    for (std::size_t event = 0; event < EventWindow::kExactEntries; ++event)
        window.add(1s);
    EXPECT_EQ(window.entryCount(), EventWindow::kExactEntries);
}

// Guards against windows that hold an entry for each of any number of shed requests.
TEST(EventWindowTest, AnyNumberOfEventsTakesBoundedMemoryAndStaysCounted) {
    constexpr Duration kLength = 4s;
    constexpr int kEvents = 2'000'000;
    EventWindow window(kLength);
    std::size_t mostEntries = 0;
    TimePoint now = 100s;
    for (int event = 0; event < kEvents; ++event, now += 10us) {
        window.dropUntil(now - kLength);
        window.add(now);
        mostEntries = std::max(mostEntries, window.entryCount());
    }
    EXPECT_LE(mostEntries, 2 * EventWindow::kExactEntries + 1);
    const double expected = 400'000;  // 100,000 a second for 4 s
    EXPECT_LE(window.count(), expected);
    EXPECT_GE(window.count(), expected * (1 - 2.0 / double(EventWindow::kExactEntries)))
        << "an event may leave one fraction of the window early";
}

}  // namespace
}  // namespace deckcart::policy
