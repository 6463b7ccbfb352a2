// The outcomes of one build within a comparison window.
#include "sample_window.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "statistics.hpp"

namespace deckcart::policy {
namespace {

// The least count of attempts for a comparison.
constexpr int kLeastAttempts = 20;
// Of a build's attempts, and at least so many: then failures are not the other build's alone.
constexpr double kManyLost = 0.2;
constexpr double kLeastLost = 4;
// Answers that an endpoint must have given to be counted among the endpoints.
constexpr double kLeastAnswersPerEndpoint = 4;
// Just under a half: the lower of the two middle endpoints.
constexpr double kLowerMedian = 0.499;

}  // namespace

void OutcomeCounts::add(bool failed, bool error, double ratio) {
    attempts += 1;
    failures += failed;
    errors += error;
    slowness += failed ? 0 : ratio;
}

void OutcomeCounts::halve() {
    attempts /= 2;
    failures /= 2;
    errors /= 2;
    slowness /= 2;
}

void SampleWindow::add(int route, const EndpointId &endpoint, bool failed, bool error,
                       double ratio) {
    routes[route].add(failed, error, ratio);
    endpoints[endpoint].add(failed, error, ratio);
}

void SampleWindow::close() {
    routes.clear();
    for (auto &[id, counts] : endpoints)
        counts.halve();
}

double SampleWindow::sum(double OutcomeCounts::*what) const {
    double total = 0;
    for (const auto &[route, counts] : routes)
        total += counts.*what;
    return total;
}

bool SampleWindow::conclusive() const {
    return count() >= kLeastAttempts;
}

bool SampleWindow::losesMany() const {
    return sum(&OutcomeCounts::failures) >= std::max(kLeastLost, kManyLost * count());
}

double SampleWindow::typicalSlowness() const {
    std::vector<double> means;
    for (const auto &[id, counts] : endpoints)
        if (counts.attempts - counts.failures >= kLeastAnswersPerEndpoint)
            means.push_back(counts.slowness / (counts.attempts - counts.failures));
    return quantile(std::move(means), kLowerMedian);
}

double SampleWindow::typicalFailureShare() const {
    std::vector<double> shares;
    for (const auto &[id, counts] : endpoints)
        if (counts.attempts >= kLeastAnswersPerEndpoint)
            shares.push_back(counts.failures / counts.attempts);
    return quantile(std::move(shares), kLowerMedian);
}

bool failsMore(const SampleWindow &ours, const SampleWindow &theirs, double OutcomeCounts::*what) {
    double lost = 0;
    double expected = 0;
    for (const auto &[route, counts] : ours.routes) {
        lost += counts.*what;
        const auto other = theirs.routes.find(route);
        if (other != theirs.routes.end() && other->second.attempts > 0)
            expected += counts.attempts * other->second.failures / other->second.attempts;
    }
    return lost > expected + kFailureMargin * ours.count() && lost > kFailureRatio * expected;
}

}  // namespace deckcart::policy
