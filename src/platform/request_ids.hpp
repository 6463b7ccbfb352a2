// Ids of requests in flight, and of those that ended a short while ago. Used by the downstream: an
// id that comes again is another client's; endpoints know the ids too and answer with errors, which
// would count against a build. Pure.
#pragma once

#include <deque>
#include <string>
#include <unordered_set>

#include "../base/clock.hpp"

namespace deckcart::platform {

class RequestIdRegistry {
  public:
    /// @param retainedFor  how long an id stays known after its request has ended
    explicit RequestIdRegistry(Duration retainedFor) : retention(retainedFor) {}

    /// @return false where the id is known already: the request is not to be taken
    [[nodiscard]] bool add(const std::string &id, TimePoint now);
    /// Once for each id that was added.
    void markEnded(const std::string &id, TimePoint now);
    [[nodiscard]] std::size_t size() const { return knownIds.size(); }

  private:
    struct EndedRequest {
        std::string id;
        TimePoint endedAt;
    };

    void removeExpired(TimePoint now);

    Duration retention;
    std::unordered_set<std::string> knownIds;
    std::deque<EndedRequest> ended;  // the oldest first
};

}  // namespace deckcart::platform
