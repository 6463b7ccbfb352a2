// Load shedding: decides whether a new request is admitted, by the throughput of the last second,
// the attempts in flight, the tenant's quota and the outcomes of its recent requests.
#pragma once

#include <deckcart/policy.hpp>
#include <deque>
#include <map>
#include <vector>

#include "event_window.hpp"
#include "random_source.hpp"
#include "request_table.hpp"
#include "time_window.hpp"

namespace deckcart::policy {

class AdmissionController {
  public:
    explicit AdmissionController(const PolicySettings &policySettings)
        : settings(policySettings), received(policySettings.tenantQuotas.size() + 1,
                                             EventWindow(policySettings.overloadWindow)) {}

    /// Counts a request on arrival, whether it is shed or not.
    void requestArrived(int tenant, TimePoint now);
    /// Records a successful response.
    void attemptAnswered(TimePoint now) { answerTimes.push_back(now); }
    /// Records the end of a request; `inTime`: answered within its latency objective.
    void requestFinished(int tenant, bool inTime, TimePoint now);
    /// Drops received and finished requests that have left their windows.
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
    // Adaptive throttling considers requests that ended within this time: enough requests even at a
    // small gateway.
    static constexpr Duration kThrottleWindow = std::chrono::seconds(4);

    struct FinishedRequests {
        EventWindow all{kThrottleWindow};
        EventWindow inTime{kThrottleWindow};

        void dropUntil(TimePoint until);
    };
    double loadPressure(const InFlightLoad &load, TimePoint now);
    double throttledFraction(int tenant, TimePoint now);
    bool hasQuota(int tenant) const;
    bool overQuota(int tenant) const;

    const PolicySettings &settings;
    std::deque<TimePoint> answerTimes;
    std::map<int, FinishedRequests> finished;  // by tenant
    std::vector<EventWindow> received;         // by tenant with a quota, and last of all others
    TimePoint lastShedAt{};                    // 0: never
};

}  // namespace deckcart::policy
