// Ejection of unresponsive endpoints.
#include "outlier_detector.hpp"

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

// Ejection time, doubled on each consecutive ejection: a dead endpoint costs little, a recovered
// one returns soon.
constexpr Duration kFirstEjection = 1s;
constexpr Duration kMaxEjection = 8s;
// Maximum fraction of a build's endpoints that are ejected at the same time: if more fail, the
// cause is not a single machine.
constexpr double kMaxEjectedFraction = 0.4;

}  // namespace

void EndpointHealth::reset() {
    consecutiveUnanswered = 0;
    ejectedUntil = Duration{0};
    ejectedFor = Duration{0};
}

void EndpointHealth::succeeded() {
    consecutiveUnanswered = 0;
    ejectedFor = Duration{0};
}

bool EndpointHealth::recordUnanswered(TimePoint now) {
    ++consecutiveUnanswered;
    return unresponsive() && !ejected(now);
}

void EndpointHealth::eject(TimePoint now) {
    ejectedFor = std::clamp(ejectedFor * 2, kFirstEjection, kMaxEjection);
    ejectedUntil = now + ejectedFor;
}

bool mayEject(double ejectedOfBuild, double endpointsOfBuild) {
    return ejectedOfBuild + 1 <= std::max(1.0, kMaxEjectedFraction * endpointsOfBuild);
}

}  // namespace deckcart::policy
