// The outcomes of one build within a comparison window, by route and by endpoint, and the
// comparison of two such windows.
#pragma once

#include <deckcart/policy.hpp>
#include <map>

#include "time_window.hpp"

namespace deckcart::policy {

// Sums of attempts. Doubles: a closed window's counts by endpoint are halved.
struct OutcomeCounts {
    double attempts = 0;
    double failures = 0;
    double errors = 0;
    double slowness = 0;  // sum over the completed attempts

    void add(bool failed, bool error, double ratio);
    void halve();
};

struct SampleWindow {
    std::map<int, OutcomeCounts> routes;
    std::map<EndpointId, OutcomeCounts> endpoints;
    TimedValues slowness;  // of completed attempts: latency over the route's usual one

    void add(int route, const EndpointId &endpoint, bool failed, bool error, double ratio);
    /// Drops the counts by route and halves those by endpoint; the latencies stay, so that their
    /// p95 has its least count.
    void close();

    double sum(double OutcomeCounts::*what) const;
    double count() const { return sum(&OutcomeCounts::attempts); }
    /// Whether there are enough attempts to compare.
    bool conclusive() const;
    /// Whether so much fails that failures are not the other build's alone.
    bool losesMany() const;
    /// Of the endpoints with some answers, the lower median one's mean slowness.
    double typicalSlowness() const;
    /// Likewise, its share of failed attempts.
    double typicalFailureShare() const;
};

/// Whether `ours` has clearly more of `what` (failures or errors) than `theirs` has failures, the
/// latter weighed by our mix of routes.
bool failsMore(const SampleWindow &ours, const SampleWindow &theirs, double OutcomeCounts::*what);

// Failures count as more only if they are over this many times the other build's rate.
constexpr double kFailureRatio = 2;
// And over it by this part of the attempts.
constexpr double kFailureMargin = 0.05;

}  // namespace deckcart::policy
