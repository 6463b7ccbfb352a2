// Merging and dropping of a window's entries.
#include "event_window.hpp"

#include "time_window.hpp"

namespace deckcart::policy {

void EventWindow::add(TimePoint at) {
    ++total;
    const bool merge = entries.size() >= kExactEntries && at - entries.back().at < resolution;
    if (merge)
        ++entries.back().events;
    else
        entries.push_back({at, 1});
}

void EventWindow::dropUntil(TimePoint until) {
    policy::dropUntil(entries, until, [this](const Entry &entry) { total -= entry.events; });
}

}  // namespace deckcart::policy
