// Decides which priority classes of each build are open: row 9 of the table in
// docs/design-membership.md. Used by the merge; pure.
#pragma once

#include <map>

#include "merge_rules.hpp"

namespace deckcart::membership {

/// Numbers of live endpoints of one build, by priority class.
struct ClassCounts {
    /// Endpoints without a class; they are counted with the first one.
    int withoutClass = 0;
    std::map<int, int> live;

    void add(int priority);
    /// Number of live endpoints in all classes up to and including this one.
    [[nodiscard]] int liveUpTo(int priority) const;
};

/// Keeps the last open class of each build. Classes open and close with hysteresis.
class PriorityClasses {
  public:
    /// Opens and closes classes for the current live endpoints; builds without one are forgotten.
    void update(const std::map<BuildNumber, ClassCounts> &counts, const MergeRules &rules);
    /// Whether a live endpoint of this build and class is held in reserve.
    [[nodiscard]] bool closed(BuildNumber build, int priority) const;

  private:
    std::map<BuildNumber, int> lastOpen;
};

}  // namespace deckcart::membership
