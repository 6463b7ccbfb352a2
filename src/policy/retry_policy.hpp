// Whether a request may or should be attempted again: idempotency, deduplication window and scope,
// the retry budget, and silent attempts that are hedged or cancelled.
#pragma once

#include <deckcart/policy.hpp>

#include "request_table.hpp"

namespace deckcart::policy {

class RetryPolicy {
  public:
    explicit RetryPolicy(const PolicySettings &policySettings) : settings(policySettings) {}

    void requestAccepted();
    bool budgetLeft() const { return budget >= 1; }
    void spendBudget() { budget -= 1; }

    /// The limits on the number of attempts and on attempts at the same time.
    bool mayAttempt(const Request &request) const;
    /// Whether another attempt could have no second effect, at an endpoint that shares what the
    /// first has stored.
    bool mayRepeat(const Request &request, TimePoint now) const;
    /// Whether that endpoint shares it.
    bool sharesDeduplication(const Request &request, const Endpoint &endpoint) const;
    /// Whether the client may be told that the request can be repeated.
    bool mayShed(const Request &request) const;

    /// Whether a request that can go nowhere can still be answered in time if it waits.
    bool worthWaiting(const Request &request, double usualSeconds, TimePoint now) const;
    /// Whether an attempt of this part of the usual time would still end within the objective.
    bool inTime(const Request &request, double seconds, TimePoint now) const;
    /// Whether the attempt's endpoint has been silent for several times the usual latency.
    bool silentTooLong(const Attempt &attempt, double usualSeconds, double fleetSlowness,
                       TimePoint now) const;

  private:
    const Route &route(const Request &request) const {
        return settings.routes.at(std::size_t(request.arrival.route));
    }
    TimePoint wantedBy(const Request &request) const {
        return request.arrivedAt + route(request).latencyObjective;
    }

    // Saved up for a burst of failures.
    static constexpr double kBudgetMost = 10;
    const PolicySettings &settings;
    double budget = kBudgetMost;
};

}  // namespace deckcart::policy
