// Detects duplicate request ids. Used by RespDownstream, which rejects a request whose id was seen
// recently: endpoints track ids as well and answer a duplicate with an error, which would count
// against a build. Performs no I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_set>

#include "../base/clock.hpp"

namespace deckcart::platform {

/// The ids of requests in flight, and of those that ended recently and that an endpoint may have
/// seen. The memory for ended requests is bounded: their number is, and each takes the same amount,
/// as only a fingerprint of its id is kept.
class RequestIdRegistry {
  public:
    /// @param retentionTime  how long an id is kept after its request has ended
    /// @param maxEndedIds  how many of these are kept; beyond it, the oldest is dropped early
    RequestIdRegistry(Duration retentionTime, std::size_t maxEndedIds)
        : retention(retentionTime), endedCapacity(maxEndedIds) {}

    /// @return false if the id is already known; the request must then be rejected
    [[nodiscard]] bool add(const std::string &id, TimePoint now);
    /// Ends a request. Call once for each id that was added.
    /// @param forwarded  whether an endpoint may have seen the id; if not, it is forgotten at once
    void markEnded(const std::string &id, bool forwarded, TimePoint now);
    /// Number of known ids.
    [[nodiscard]] std::size_t size() const { return inFlight.size() + endedFingerprints.size(); }
    /// Number of ids of requests that have ended.
    [[nodiscard]] std::size_t endedCount() const { return ended.size(); }

  private:
    using Fingerprint = std::uint64_t;
    struct EndedRequest {
        Fingerprint fingerprint = 0;
        TimePoint endedAt;
    };

    static Fingerprint fingerprintOf(const std::string &id);
    void dropOldest();
    void removeExpired(TimePoint now);

    Duration retention;
    std::size_t endedCapacity;
    std::unordered_set<std::string> inFlight;
    std::unordered_set<Fingerprint> endedFingerprints;
    std::deque<EndedRequest> ended;  // oldest first
};

}  // namespace deckcart::platform
