// Counts and medians of a comparison window.
#include "sample_window.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "statistics.hpp"

namespace deckcart::policy {
namespace {

// Minimum number of attempts for a comparison.
constexpr int kMinAttempts = 20;
// A build fails often if this fraction of its attempts fails, and at least this number: failures
// can't be attributed to the other build then.
constexpr double kHighFailureShare = 0.2;
constexpr double kMinFrequentFailures = 4;
// Minimum number of responses (for the failure share: attempts) of an endpoint to be included in
// the medians.
constexpr double kMinAnswersPerEndpoint = 4;
// Slightly below 0.5: selects the lower of the two middle endpoints.
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

double SampleWindow::sum(double OutcomeCounts::*counter) const {
    double total = 0;
    for (const auto &[route, counts] : routes)
        total += counts.*counter;
    return total;
}

bool SampleWindow::conclusive() const {
    return count() >= kMinAttempts;
}

bool SampleWindow::failsOften() const {
    return sum(&OutcomeCounts::failures) >=
           std::max(kMinFrequentFailures, kHighFailureShare * count());
}

double SampleWindow::typicalSlowness() const {
    std::vector<double> means;
    for (const auto &[id, counts] : endpoints)
        if (counts.attempts - counts.failures >= kMinAnswersPerEndpoint)
            means.push_back(counts.slowness / (counts.attempts - counts.failures));
    return quantile(std::move(means), kLowerMedian);
}

double SampleWindow::typicalFailureShare() const {
    std::vector<double> shares;
    for (const auto &[id, counts] : endpoints)
        if (counts.attempts >= kMinAnswersPerEndpoint)
            shares.push_back(counts.failures / counts.attempts);
    return quantile(std::move(shares), kLowerMedian);
}

bool failsMore(const SampleWindow &subject, const SampleWindow &reference,
               double OutcomeCounts::*counter) {
    double observed = 0;
    double expected = 0;
    for (const auto &[route, counts] : subject.routes) {
        observed += counts.*counter;
        const auto referenceRoute = reference.routes.find(route);
        if (referenceRoute != reference.routes.end() && referenceRoute->second.attempts > 0)
            expected +=
                counts.attempts * referenceRoute->second.failures / referenceRoute->second.attempts;
    }
    return observed > expected + kFailureMargin * subject.count() &&
           observed > kFailureRatio * expected;
}

}  // namespace deckcart::policy
