// Statistics of small samples, for canary analysis.
#pragma once

#include <vector>

namespace deckcart::policy {

/// The quantile of the values at `fraction` (0 to 1); 0 if there are no values.
double quantile(std::vector<double> values, double fraction);

/// By how many standard errors the mean logarithm of `sample` exceeds that of `reference` plus
/// log(`factor`); 0 if either has fewer than `minCount` values.
double standardErrorsSlower(const std::vector<double> &sample, const std::vector<double> &reference,
                            double factor, double minCount);

}  // namespace deckcart::policy
