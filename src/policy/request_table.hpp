// Requests that a gateway has received and not finished, with their attempts.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deckcart/policy.hpp>
#include <map>
#include <vector>

#include "endpoint_table.hpp"
#include "outcomes.hpp"

namespace deckcart::policy {

/// An attempt at an endpoint to get a request answered.
struct Attempt {
    Endpoint *endpoint = nullptr;
    BuildNumber build = 0;
    int zone = 0;
    int cell = 0;
    TimePoint sentAt{};
    bool tooYoung = false;  ///< it was sent before the endpoint reached the evidence age
    bool inFlight = true;
    bool abandoned = false;  ///< cancelled or hedged because the endpoint was silent
    Outcome outcome = Outcome::ok;

    bool mayHaveRun() const { return inFlight || !provesNotRun(outcome); }
};

/// A request that is not finished, or that has attempts in flight.
struct Request {
    RequestArrived arrival;
    TimePoint arrivedAt{};
    std::vector<Attempt> attempts;
    bool finished = false;
    std::vector<Endpoint *> candidates;  ///< the two choices, while their load is queried
    std::size_t awaitedLoadReports = 0;  ///< load reports still to come from the candidates

    bool outstanding() const { return std::ranges::any_of(attempts, &Attempt::inFlight); }
    /// The first attempt that may have run; null if there is none.
    const Attempt *firstThatMayHaveRun() const {
        const auto at = std::ranges::find_if(attempts, &Attempt::mayHaveRun);
        return at == attempts.end() ? nullptr : &*at;
    }
    bool triedAt(const Endpoint &endpoint) const {
        return std::ranges::count(attempts, &endpoint, &Attempt::endpoint) > 0;
    }
    bool awaitsLoadOf(const Endpoint &endpoint) const {
        return std::ranges::count(candidates, &endpoint) > 0;
    }
};

using RequestTable = std::map<RequestId, Request>;

/// The load of the attempts in flight.
struct InFlightLoad {
    double attempts = 0;
    double usualSeconds = 0;  ///< sum of the usual latencies of these attempts
};

/// Attempts in flight, except those at ejected endpoints.
inline InFlightLoad inFlightLoad(const RequestTable &requests, const RouteLatencies &latencies,
                                 TimePoint now) {
    InFlightLoad load;
    for (const auto &[id, request] : requests)
        for (const Attempt &attempt : request.attempts)
            if (attempt.inFlight && !attempt.endpoint->health.ejected(now)) {
                ++load.attempts;
                load.usualSeconds += latencies.usual(request.arrival.route);
            }
    return load;
}

}  // namespace deckcart::policy
