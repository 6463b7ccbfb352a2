// Detects duplicate request ids. Used by RespDownstream, which rejects a request whose id was seen
// recently: endpoints track ids as well and answer a duplicate with an error, which would count
// against a build. Performs no I/O.
#pragma once

#include <deque>
#include <string>
#include <unordered_set>

#include "../base/clock.hpp"

namespace deckcart::platform {

/// The ids of requests in flight and of requests that ended recently.
class RequestIdRegistry {
  public:
    /// @param retentionTime  how long an id is kept after its request has ended
    explicit RequestIdRegistry(Duration retentionTime) : retention(retentionTime) {}

    /// @return false if the id is already known; the request must then be rejected
    [[nodiscard]] bool add(const std::string &id, TimePoint now);
    /// Starts the retention time of an id. Call once for each id that was added.
    void markEnded(const std::string &id, TimePoint now);
    /// Number of known ids.
    [[nodiscard]] std::size_t size() const { return knownIds.size(); }
    /// Number of ids of requests that have ended.
    [[nodiscard]] std::size_t endedCount() const { return ended.size(); }

  private:
    struct EndedRequest {
        std::string id;
        TimePoint endedAt;
    };

    void removeExpired(TimePoint now);

    Duration retention;
    std::unordered_set<std::string> knownIds;
    std::deque<EndedRequest> ended;  // oldest first
};

}  // namespace deckcart::platform
