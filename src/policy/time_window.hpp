// Time conversions and time-ordered queues.
#pragma once

#include <chrono>
#include <cmath>
#include <deckcart/policy.hpp>
#include <deque>
#include <vector>

namespace deckcart::policy {

/// Interval of housekeeping, well below the shortest wait that depends on it. Windows and deadlines
/// keep this margin, since an action may be decided one interval late.
constexpr Duration kHousekeepingInterval = std::chrono::milliseconds{20};

inline double toSeconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
}
inline Duration fromSeconds(double seconds) {
    return Duration{std::llround(seconds * 1e6)};
}

/// A value recorded at a point in time.
struct TimedValue {
    TimePoint at{};
    double value = 0;
};
using TimedValues = std::deque<TimedValue>;

inline TimePoint timeOf(TimePoint at) {
    return at;
}
template <class Entry>
TimePoint timeOf(const Entry &entry) {
    return entry.at;
}

/// Drops the entries up to and including `until` from a time-ordered queue; `dropped` is called
/// with each of them first.
template <class Entry, class Dropped>
void dropUntil(std::deque<Entry> &queue, TimePoint until, Dropped dropped) {
    while (!queue.empty() && timeOf(queue.front()) <= until) {
        dropped(queue.front());
        queue.pop_front();
    }
}
template <class Entry>
void dropUntil(std::deque<Entry> &queue, TimePoint until) {
    dropUntil(queue, until, [](const Entry &) {});
}

/// The values recorded at `since` or later.
inline std::vector<double> valuesSince(const TimedValues &queue, TimePoint since) {
    std::vector<double> values;
    for (const TimedValue &entry : queue)
        if (entry.at >= since)
            values.push_back(entry.value);
    return values;
}

}  // namespace deckcart::policy
