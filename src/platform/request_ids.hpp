// Ids of requests that are open, and of those that ended a short while ago: an id that comes again
// is another client's. Instances know them too and answer with errors, which would speak against a
// build. Pure.
#pragma once

#include <deque>
#include <string>
#include <unordered_set>

#include "../base/clock.hpp"

namespace deckcart::platform {

class OpenNames {
  public:
    explicit OpenNames(Duration keptFor) : kept(keptFor) {}
    bool open(const std::string &name, Duration now);  // false: it is known
    void ended(const std::string &name, Duration now);
    std::size_t size() const { return names.size(); }

  private:
    void forget(Duration now);
    Duration kept;
    std::unordered_set<std::string> names;
    std::deque<std::pair<Duration, std::string>> over;
};

}  // namespace deckcart::platform
