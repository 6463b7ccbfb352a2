// Load shedding: whether a new request is admitted, from the throughput of the last second, what
// is in flight, each tenant's quota and how its last requests ended.
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
        : settings(policySettings), acceptedOf(policySettings.tenantQuotas.size()) {}

    void requestAccepted(int tenant, TimePoint now);
    /// An attempt was answered well.
    void attemptAnswered(TimePoint now) { answers.push_back(now); }
    /// A request has ended, within its objective or not.
    void requestFinished(int tenant, bool inTime, TimePoint now);
    /// Drops accepted requests that have left the overload window.
    void expire(TimePoint now);

    /// Sheds while the requests in flight could not be answered in time at the throughput of the
    /// last second, more the slower; a tenant's excess over its quota first. Covers surges, lost
    /// endpoints, slowdowns. Harm: a rough throughput. Draws a chance if part of them is shed.
    [[nodiscard]] bool shouldShed(int tenant, double usualSeconds, Duration objective,
                                  const InFlightLoad &load, RandomSource &random, TimePoint now);
    /// Whether a request was shed so lately that the fleet counts as full.
    bool shedRecently(TimePoint now) const;
    /// When a client may repeat a request that was shed; 0 if it can't be told.
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
    struct AcceptedRequest {
        TimePoint at{};
        int tenant = 0;
    };
    double pressure(const InFlightLoad &load, TimePoint now);
    double throttledPart(int tenant, TimePoint now);
    void countFinished(const FinishedRequest &request, double change);
    void countAccepted(int tenant, double change);
    bool overQuota(int tenant) const;

    const PolicySettings &settings;
    std::deque<TimePoint> answers;
    std::deque<FinishedRequest> finished;
    std::map<int, FinishedCounts> finishedOf;  // by tenant
    std::deque<AcceptedRequest> accepted;
    std::vector<double> acceptedOf;  // by tenant with a quota
    TimePoint shedAt{};              // 0: never
};

}  // namespace deckcart::policy
