// Merging and dropping of a window's entries.
#include "event_window.hpp"

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
    while (!entries.empty() && entries.front().at <= until) {
        total -= entries.front().events;
        entries.pop_front();
    }
}

}  // namespace deckcart::policy
