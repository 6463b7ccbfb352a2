#include "priority_classes.hpp"

#include <algorithm>

#include "reading.hpp"

namespace deckcart::membership {
namespace {

// The new last open class, starting from the current one.
int lastOpenClass(int last, const ClassCounts &counts, const MergeRules &rules) {
    const auto &live = counts.live;
    last = std::max(last, live.begin()->first);
    for (auto next = live.upper_bound(last);
         next != live.end() && counts.liveUpTo(last) < rules.reserveBelow;
         next = live.upper_bound(last))
        last = next->first;
    for (auto current = live.lower_bound(last); current != live.begin();
         current = live.lower_bound(last)) {
        const int previous = std::prev(current)->first;
        if (counts.liveUpTo(previous) < rules.reserveUntil)
            break;
        last = previous;
    }
    return last;
}

}  // namespace

void ClassCounts::add(int priority) {
    if (priority == kNoPriorityClass)
        ++withoutClass;
    else
        ++live[priority];
}

int ClassCounts::liveUpTo(int priority) const {
    int sum = withoutClass;
    for (const auto &[other, count] : live)
        if (other <= priority)
            sum += count;
    return sum;
}

void PriorityClasses::update(const std::map<BuildNumber, ClassCounts> &counts,
                             const MergeRules &rules) {
    std::erase_if(lastOpen, [&](const auto &item) { return !counts.contains(item.first); });
    for (const auto &[build, ofBuild] : counts) {
        if (ofBuild.live.empty())
            continue;
        int &last = lastOpen.try_emplace(build, ofBuild.live.begin()->first).first->second;
        last = lastOpenClass(last, ofBuild, rules);
    }
}

bool PriorityClasses::closed(BuildNumber build, int priority) const {
    const auto last = lastOpen.find(build);
    return last != lastOpen.end() && priority > last->second;
}

}  // namespace deckcart::membership
