// Load shedding: decides whether a new request is admitted, by the throughput of the last second,
// the attempts in flight, the tenant's quota and the outcomes of its recent requests.
#pragma once

#include <deckcart/policy.hpp>
#include <deque>
#include <map>
#include <vector>

#include "random_source.hpp"
#include "request_table.hpp"
#include "time_window.hpp"

namespace deckcart::policy {

class AdmissionController {
  public:
    explicit AdmissionController(const PolicySettings &policySettings)
        : settings(policySettings), receivedByTenant(policySettings.tenantQuotas.size()) {}

    /// Counts a request on arrival, whether it is shed or not.
    void requestArrived(int tenant, TimePoint now);
    /// Records a successful response.
    void attemptAnswered(TimePoint now) { answerTimes.push_back(now); }
    /// Records the end of a request; `inTime`: answered within its latency objective.
    void requestFinished(int tenant, bool inTime, TimePoint now);
    /// Drops received requests that have left the overload window.
    void expire(TimePoint now);

    /// Sheds requests while those in flight could not be answered in time at the throughput of the
    /// last second, with a probability that grows with the excess; requests of a tenant over its
    /// quota first. Covers surges, lost endpoints and slowdowns. Drawback: the throughput is a
    /// rough estimate. Draws a random number only if the probability is above 0.
    [[nodiscard]] bool shouldShed(int tenant, double usualSeconds, Duration objective,
                                  const InFlightLoad &load, RandomSource &random, TimePoint now);
    /// Whether a request was shed so recently that the fleet is considered full.
    bool shedRecently(TimePoint now) const;
    /// When a client may repeat a shed request; 0 if the delay can't be communicated.
    Duration retryAfter() const;

  private:
    struct FinishedRequest {
        TimePoint at{};
        int tenant = 0;
        bool inTime = false;
    };
    struct FinishedCounts {
        double all = 0;
        double inTime = 0;
    };
    struct ReceivedRequest {
        TimePoint at{};
        int tenant = 0;
    };
    double loadPressure(const InFlightLoad &load, TimePoint now);
    double throttledFraction(int tenant, TimePoint now);
    void countFinished(const FinishedRequest &request, double change);
    void countReceived(int tenant, double change);
    bool overQuota(int tenant) const;

    const PolicySettings &settings;
    std::deque<TimePoint> answerTimes;
    std::deque<FinishedRequest> finished;
    std::map<int, FinishedCounts> finishedByTenant;
    std::deque<ReceivedRequest> received;
    std::vector<double> receivedByTenant;  // by tenant, those with a quota only
    TimePoint lastShedAt{};                // 0: never
};

}  // namespace deckcart::policy
