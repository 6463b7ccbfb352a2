// Outcomes of one build within a comparison window, by route and by endpoint, and the comparison of
// two such windows.
#pragma once

#include <deckcart/policy.hpp>
#include <map>

#include "time_window.hpp"

namespace deckcart::policy {

/// Sums over attempts. Fractional, since counts by endpoint are halved when a window closes.
struct OutcomeCounts {
    double attempts = 0;
    double failures = 0;
    double errors = 0;
    double slowness = 0;  ///< sum of latencies of successful attempts, as multiples of the usual

    /// Counts an attempt; `ratio`: its latency as a multiple of the usual one.
    void add(bool failed, bool error, double ratio);
    void halve();
};

/// The samples of one build in a comparison window.
struct SampleWindow {
    std::map<int, OutcomeCounts> routes;
    std::map<EndpointId, OutcomeCounts> endpoints;
    /// Latencies of successful attempts and, where evidence is pooled, elapsed times of attempts
    /// that were cancelled or timed out; as multiples of the route's usual latency.
    TimedValues slowness;

    void add(int route, const EndpointId &endpoint, bool failed, bool error, double ratio);
    /// Drops the counts by route and halves those by endpoint. Latency samples are kept, so that
    /// their number can reach the minimum for a p95.
    void close();

    double sum(double OutcomeCounts::*counter) const;
    double count() const { return sum(&OutcomeCounts::attempts); }
    /// Whether there are enough attempts to compare.
    bool conclusive() const;
    /// Whether so many attempts fail that failures can't be attributed to the other build alone.
    bool failsOften() const;
    /// The lower median over endpoints of the mean slowness; endpoints with few responses are left
    /// out.
    double typicalSlowness() const;
    /// The lower median over endpoints of the fraction of failed attempts; endpoints with few
    /// attempts are left out.
    double typicalFailureShare() const;
};

/// Whether `subject` has clearly more of `counter` (failures or errors) than expected from the
/// failure rates of `reference`, weighted by the subject's mix of routes.
bool failsMore(const SampleWindow &subject, const SampleWindow &reference,
               double OutcomeCounts::*counter);

/// Failures count as more than the reference's only if they exceed the expected number by this
/// factor.
constexpr double kFailureRatio = 2;
/// They must also exceed the expected number by this fraction of the attempts.
constexpr double kFailureMargin = 0.05;

}  // namespace deckcart::policy
