// Counters of a gateway since its start. Shared by the parts of the data path that increment them.
#pragma once

#include <cstdint>

#include "../base/clock.hpp"

namespace deckcart {

struct GatewayCounts {
    std::uint64_t accepted =
        0;  ///< Requests accepted; each is later counted in one of the next four.
    std::uint64_t completed = 0;  ///< Answered with an endpoint's response.
    std::uint64_t shed = 0;       ///< Rejected with a Retry-After.
    std::uint64_t failed = 0;     ///< Answered with an error.
    std::uint64_t abandoned = 0;  ///< Abandoned: the client disconnected first.
    std::uint64_t attempts = 0;   ///< Calls to endpoints that were started.
    /// Failed by the data path: the policy gave no answer in time, or the gateway was shutting
    /// down.
    std::uint64_t failedByDataPath = 0;
    std::uint64_t processStalls = 0;  ///< Stalls of the process.
    /// Rejected without asking the policy: over a limit, or during shutdown.
    std::uint64_t rejected = 0;
    std::uint64_t unrouted = 0;   ///< Answered by the downstream because no route matched.
    std::uint64_t decisions = 0;  ///< Events that the policy has processed.
    Duration deciding{};          ///< Total time spent in the policy.
    Duration longestDeciding{};   ///< Longest time that the policy spent on one event.
};

}  // namespace deckcart
