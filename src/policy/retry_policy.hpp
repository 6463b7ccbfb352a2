// Whether a request may or should be attempted again: idempotency, deduplication window and scope,
// the retry budget, and attempts at silent endpoints.
#pragma once

#include <deckcart/policy.hpp>

#include "request_table.hpp"

namespace deckcart::policy {

class RetryPolicy {
  public:
    explicit RetryPolicy(const PolicySettings &policySettings) : settings(policySettings) {}

    /// Adds a request's part to the retry budget, on arrival.
    void requestArrived();
    bool budgetLeft() const { return budget >= 1; }
    void spendBudget() { budget -= 1; }

    /// Whether the limits on the number of attempts, in total and in parallel, allow another one.
    bool mayAttempt(const Request &request) const;
    /// Whether another attempt can't cause a second effect, provided its endpoint shares the
    /// deduplication records of the first one's.
    bool mayRepeat(const Request &request, TimePoint now) const;
    /// Whether the endpoint shares these records.
    bool sharesDeduplication(const Request &request, const Endpoint &endpoint) const;
    /// Whether the client may be told that it can safely repeat the request.
    bool mayShed(const Request &request) const;

    /// Whether a request that can't be forwarded now can still be answered in time if it waits.
    bool worthWaiting(const Request &request, double usualSeconds, TimePoint now) const;
    /// Whether an attempt that takes this many seconds ends within the latency objective.
    bool endsWithinObjective(const Request &request, double seconds, TimePoint now) const;
    /// Whether the attempt's endpoint has been silent for several times the usual latency.
    bool silentTooLong(const Attempt &attempt, double usualSeconds, double fleetSlowness,
                       TimePoint now) const;

  private:
    const Route &route(const Request &request) const {
        return settings.routes.at(std::size_t(request.arrival.route));
    }
    TimePoint objectiveDeadline(const Request &request) const {
        return request.arrivedAt + route(request).latencyObjective;
    }

    // Maximum number of retries that are saved up for a burst of failures.
    static constexpr double kMaxBudget = 10;
    const PolicySettings &settings;
    double budget = kMaxBudget;
};

}  // namespace deckcart::policy
