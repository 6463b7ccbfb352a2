// The experiment that pauses the canary when both builds are slow.
#include "interference_detector.hpp"

#include <cmath>

#include "statistics.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

// Times its full-load median that make the baseline slow as well.
constexpr double kFleetSlow = 1.2;
// Over the root of the answers: about one standard error of such a median.
constexpr double kMedianDoubt = 1.5;
// Answers that give a median good enough for it.
constexpr std::size_t kLeastAnswers = 15;
// Of this long at most: the median must follow a pause of the canary.
constexpr Duration kRecentWindow = 1500ms;
// Slow for so long before a pause or blame; no new pause for so long once cleared.
constexpr Duration kSlowFor = 700ms;
constexpr Duration kClearFor = 8s;
// By then no help of a pause, or no return of the slowness, clears.
constexpr Duration kLongestPause = 4s;
constexpr Duration kLongestResume = 6s;
// Part of the excess that is left when a pause has helped: most has gone.
constexpr double kExcessLeft = 0.4;

}  // namespace

void InterferenceDetector::recordFullLoad(double ratio) {
    fullLoad.push_back(ratio);
    if (fullLoad.size() > kFullLoadSamples)
        fullLoad.erase(fullLoad.begin());
}

void InterferenceDetector::expire(TimePoint now) {
    dropUntil(recent, now - kRecentWindow);
}

void InterferenceDetector::reset() {
    state = State::watching;
    slowSince = TimePoint{0};
    clearUntil = TimePoint{0};
}

InterferenceDetector::Finding InterferenceDetector::advance(bool canaryGetsTraffic, bool fleetShort,
                                                            TimePoint now) {
    if (recent.size() < kLeastAnswers || fullLoad.size() < kLeastAnswers)
        return {};
    const double slowness =
        quantile(valuesSince(recent, TimePoint{0}), 0.5) / quantile(fullLoad, 0.5);
    if (slowness <= kFleetSlow + kMedianDoubt / std::sqrt(double(recent.size())))
        slowSince = TimePoint{0};
    else if (slowSince == TimePoint{0})
        slowSince = now;
    const bool lasting = slowSince != TimePoint{0} && now - slowSince >= kSlowFor && !fleetShort;
    if (state == State::paused)
        return duringPause(slowness, now);
    if (state == State::resumed)
        return afterPause(slowness, lasting, now);
    if (!lasting || now < clearUntil || !canaryGetsTraffic)
        return {};
    slownessAtPause = slowness;
    return enter(State::paused, "pause: both builds slow", now);
}

InterferenceDetector::Finding InterferenceDetector::enter(State next, const char *message,
                                                          TimePoint now) {
    state = next;
    enteredAt = now;
    slowSince = TimePoint{0};
    return {false, message};
}

bool InterferenceDetector::mostExcessGone(double slowness) const {
    return slowness - 1 < kExcessLeft * (slownessAtPause - 1);
}

InterferenceDetector::Finding InterferenceDetector::duringPause(double slowness, TimePoint now) {
    if (mostExcessGone(slowness) && now - enteredAt >= kRecentWindow)
        return enter(State::resumed, "resume: the pause has helped", now);
    if (now - enteredAt <= kLongestPause)
        return {};
    clearUntil = now + kClearFor;
    return enter(State::watching, "resume: the pause has not helped", now);
}

InterferenceDetector::Finding InterferenceDetector::afterPause(double slowness, bool lasting,
                                                               TimePoint now) {
    if (lasting && slowness - 1 > kExcessLeft * (slownessAtPause - 1))
        return {true, nullptr};
    if (now - enteredAt > kLongestResume)
        return enter(State::watching, "cleared: not slow again", now);
    return {};
}

}  // namespace deckcart::policy
