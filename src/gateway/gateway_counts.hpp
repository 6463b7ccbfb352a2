// Counters of a gateway since its start, shared by the parts of the data path that raise them.
#pragma once

#include <cstdint>

#include "../base/clock.hpp"

namespace deckcart {

struct GatewayCounts {
    std::uint64_t taken = 0;          ///< Requests accepted; each ends in one of the next four.
    std::uint64_t completed = 0;      ///< Answered with an endpoint's response.
    std::uint64_t shed = 0;           ///< Rejected with a Retry-After.
    std::uint64_t errored = 0;        ///< Answered with an error.
    std::uint64_t gone = 0;           ///< Abandoned: the client left first.
    std::uint64_t attempts = 0;       ///< Calls to endpoints that were started.
    std::uint64_t overdue = 0;        ///< Answered by the data path since the policy was too late.
    std::uint64_t processStalls = 0;  ///< Process stalls.
    std::uint64_t rejected = 0;   ///< Rejected unseen by the policy: over a bound, or at the end.
    std::uint64_t unrouted = 0;   ///< Answered by the downstream: no route matched.
    std::uint64_t decisions = 0;  ///< Events that the policy has decided on.
    Duration deciding{};          ///< Spent in the policy, in all.
    Duration longestDeciding{};   ///< Spent in the policy, on one event at most.
};

}  // namespace deckcart
