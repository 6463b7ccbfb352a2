// Quantiles and the comparison of two means.
#include "statistics.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

namespace deckcart::policy {
namespace {

// Lower bound of the ratios, since the logarithm of 0 is not defined.
constexpr double kSmallestRatio = 0.01;

struct LogMean {
    double count = 0;
    double mean = 0;
};

// Welford's algorithm. The squared deviations of both samples are pooled in `squares`.
LogMean logMean(const std::vector<double> &ratios, double &squares) {
    LogMean result;
    for (const double ratio : ratios) {
        const double value = std::log(std::max(ratio, kSmallestRatio));
        const double deviation = value - result.mean;
        result.count += 1;
        result.mean += deviation / result.count;
        squares += deviation * (value - result.mean);
    }
    return result;
}

}  // namespace

double quantile(std::vector<double> values, double fraction) {
    if (values.empty())
        return 0;
    const auto index = std::min(values.size() - 1, std::size_t(fraction * double(values.size())));
    std::nth_element(values.begin(), values.begin() + std::ptrdiff_t(index), values.end());
    return values[index];
}

double standardErrorsSlower(const std::vector<double> &sample, const std::vector<double> &reference,
                            double factor, double minCount) {
    double squares = 0;
    const LogMean sampleMean = logMean(sample, squares);
    const LogMean referenceMean = logMean(reference, squares);
    if (sampleMean.count < minCount || referenceMean.count < minCount)
        return 0;
    const double standardError = std::sqrt(squares / (sampleMean.count + referenceMean.count - 2) *
                                           (1 / sampleMean.count + 1 / referenceMean.count));
    return (sampleMean.mean - referenceMean.mean - std::log(factor)) /
           std::max(standardError, 1e-9);
}

}  // namespace deckcart::policy
