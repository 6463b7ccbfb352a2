// Statistics of small samples: quantiles and the comparison of two means.
#include "statistics.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

namespace deckcart::policy {
namespace {

// Guards the logarithm against latencies of zero.
constexpr double kSmallestRatio = 0.01;

struct LogMean {
    double count = 0;
    double mean = 0;
};

// Welford's update; the squares of both samples are pooled in one sum.
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

double quantile(std::vector<double> values, double part) {
    if (values.empty())
        return 0;
    const auto at = std::min(values.size() - 1, std::size_t(part * double(values.size())));
    std::nth_element(values.begin(), values.begin() + std::ptrdiff_t(at), values.end());
    return values[at];
}

double standardErrorsSlower(const std::vector<double> &ours, const std::vector<double> &theirs,
                            double factor, double least) {
    double squares = 0;
    const LogMean own = logMean(ours, squares);
    const LogMean other = logMean(theirs, squares);
    if (own.count < least || other.count < least)
        return 0;
    const double error =
        std::sqrt(squares / (own.count + other.count - 2) * (1 / own.count + 1 / other.count));
    return (own.mean - other.mean - std::log(factor)) / std::max(error, 1e-9);
}

}  // namespace deckcart::policy
