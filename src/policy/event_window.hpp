// Counts the events of a sliding window in bounded memory.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deckcart/policy.hpp>
#include <deque>

namespace deckcart::policy {

/// The number of events within a sliding window. Each event is kept by itself up to kExactEntries;
/// beyond that, events that come within a small fraction of the window after the last entry are
/// counted at that entry's time, and so leave the window earlier by at most that fraction. Without
/// it, clients that are shed and come again at once would fill the memory.
class EventWindow {
  public:
    /// @param windowLength  how long events are kept; the caller drops them by dropUntil()
    explicit EventWindow(Duration windowLength)
        : resolution(windowLength / std::int64_t{kExactEntries}) {}

    /// Counts an event; `at` must not be earlier than that of the event before.
    void add(TimePoint at);
    /// Drops the events up to and including `until`.
    void dropUntil(TimePoint until);
    /// Number of events.
    double count() const { return double(total); }
    /// Number of entries in memory: at most twice kExactEntries while events are dropped in time.
    std::size_t entryCount() const { return entries.size(); }

    /// Entries from which on events are merged: more than a gateway gets at its usual rates.
    static constexpr std::size_t kExactEntries = 8192;

  private:
    struct Entry {
        TimePoint at{};
        std::uint64_t events = 0;
    };
    Duration resolution;
    std::deque<Entry> entries;  // oldest first
    std::uint64_t total = 0;
};

}  // namespace deckcart::policy
