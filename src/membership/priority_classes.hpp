// Which priority classes of each build are open: row 9 of the table in docs/design-membership.md.
// Used by the merge; pure.
#pragma once

#include <map>

#include "merge_rules.hpp"

namespace deckcart::membership {

/// Live endpoints of one build, by priority class.
struct ClassCounts {
    /// In the first class, whichever that is.
    int classless = 0;
    std::map<int, int> live;

    void add(int priority);
    /// Live endpoints in the classes up to and with this one.
    [[nodiscard]] int liveUpTo(int priority) const;
};

/// Remembers the last open class of each build: it opens and closes with hysteresis.
class PriorityClasses {
  public:
    /// Opens and closes by what is live now; builds without a live endpoint are forgotten.
    void update(const std::map<BuildNumber, ClassCounts> &counts, const MergeRules &rules);
    /// Whether a live endpoint of this build and class is kept in reserve.
    [[nodiscard]] bool closed(BuildNumber build, int priority) const;

  private:
    std::map<BuildNumber, int> lastOpen;
};

}  // namespace deckcart::membership
