// Pauses and resumes the canary when both builds are slow.
#include "interference_detector.hpp"

#include <cmath>

#include "statistics.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

// The baseline counts as slow if its median exceeds the reference samples' by this factor.
constexpr double kSlowMedianFactor = 1.2;
// Divided by the root of the sample count: about one standard error of the median, added to the
// factor above.
constexpr double kMedianErrorFactor = 1.5;
// Minimum number of samples for a usable median.
constexpr std::size_t kMinSamples = 15;
// Samples are kept this long. A short window lets the median follow a pause quickly.
constexpr Duration kRecentWindow = 1500ms;
// The baseline must be slow for this long before the canary is paused or found at fault.
constexpr Duration kMinSlowDuration = 700ms;
// After a pause that did not help, no new pause starts for this long.
constexpr Duration kNoPausePeriod = 8s;
// The canary is cleared if a pause has not helped, or if the slowness has not returned after the
// pause, within these times.
constexpr Duration kMaxPause = 4s;
constexpr Duration kMaxObservationAfterPause = 6s;
// The pause has helped if less than this fraction of the excess latency is left.
constexpr double kResidualExcess = 0.4;

}  // namespace

void InterferenceDetector::recordReference(double ratio) {
    reference.push_back(ratio);
    if (reference.size() > kMaxReferenceSamples)
        reference.erase(reference.begin());
}

void InterferenceDetector::expire(TimePoint now) {
    dropUntil(recent, now - kRecentWindow);
}

void InterferenceDetector::reset() {
    state = State::watching;
    slowSince = TimePoint{0};
    noPauseBefore = TimePoint{0};
}

InterferenceDetector::Finding InterferenceDetector::advance(bool canaryGetsTraffic,
                                                            bool capacityReduced, TimePoint now) {
    if (recent.size() < kMinSamples || reference.size() < kMinSamples)
        return {};
    const double slowness =
        quantile(valuesSince(recent, TimePoint{0}), 0.5) / quantile(reference, 0.5);
    if (slowness <= kSlowMedianFactor + kMedianErrorFactor / std::sqrt(double(recent.size())))
        slowSince = TimePoint{0};
    else if (slowSince == TimePoint{0})
        slowSince = now;
    const bool sustained =
        slowSince != TimePoint{0} && now - slowSince >= kMinSlowDuration && !capacityReduced;
    if (state == State::paused)
        return advancePaused(slowness, now);
    if (state == State::resumed)
        return advanceResumed(slowness, sustained, now);
    if (!sustained || now < noPauseBefore || !canaryGetsTraffic)
        return {};
    slownessAtPause = slowness;
    return transitionTo(State::paused, "pause: both builds slow", now);
}

InterferenceDetector::Finding InterferenceDetector::transitionTo(State next, const char *message,
                                                                 TimePoint now) {
    state = next;
    stateSince = now;
    slowSince = TimePoint{0};
    return {false, message};
}

bool InterferenceDetector::mostExcessGone(double slowness) const {
    return slowness - 1 < kResidualExcess * (slownessAtPause - 1);
}

InterferenceDetector::Finding InterferenceDetector::advancePaused(double slowness, TimePoint now) {
    if (mostExcessGone(slowness) && now - stateSince >= kRecentWindow)
        return transitionTo(State::resumed, "resume: the pause has helped", now);
    if (now - stateSince <= kMaxPause)
        return {};
    noPauseBefore = now + kNoPausePeriod;
    return transitionTo(State::watching, "resume: the pause has not helped", now);
}

InterferenceDetector::Finding InterferenceDetector::advanceResumed(double slowness, bool sustained,
                                                                   TimePoint now) {
    if (sustained && slowness - 1 > kResidualExcess * (slownessAtPause - 1))
        return {true, nullptr};
    if (now - stateSince > kMaxObservationAfterPause)
        return transitionTo(State::watching, "cleared: not slow again", now);
    return {};
}

}  // namespace deckcart::policy
