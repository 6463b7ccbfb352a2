// Ejection of endpoints that don't answer.
#include "outlier_detector.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

// Doubled each time in a row: a dead endpoint costs little, a healed one returns soon.
constexpr Duration kFirstEjection = 1s;
constexpr Duration kLongestEjection = 8s;
// Part of a build that is ejected at most: beyond it is no machine's fault.
constexpr double kMostEjected = 0.4;

}  // namespace

void EndpointHealth::reset() {
    unansweredInRow = 0;
    ejectedUntil = Duration{0};
    ejectedFor = Duration{0};
}

void EndpointHealth::succeeded() {
    unansweredInRow = 0;
    ejectedFor = Duration{0};
}

bool EndpointHealth::recordUnanswered(TimePoint now) {
    ++unansweredInRow;
    return unresponsive() && !ejected(now);
}

void EndpointHealth::eject(TimePoint now) {
    ejectedFor = std::clamp(ejectedFor * 2, kFirstEjection, kLongestEjection);
    ejectedUntil = now + ejectedFor;
}

bool mayEject(double ejectedOfBuild, double endpointsOfBuild) {
    return ejectedOfBuild + 1 <= std::max(1.0, kMostEjected * endpointsOfBuild);
}

}  // namespace deckcart::policy
