// Statistics of small samples, for the comparisons of canary analysis.
#pragma once

#include <vector>

namespace deckcart::policy {

/// The value below which this part (0 to 1) of the values lies; 0 if there are none.
double quantile(std::vector<double> values, double part);

/// By how many standard errors `ours` is slower than `theirs` beyond that factor, in the mean of
/// the logarithms; 0 if either has fewer values than `least`.
double standardErrorsSlower(const std::vector<double> &ours, const std::vector<double> &theirs,
                            double factor, double least);

}  // namespace deckcart::policy
