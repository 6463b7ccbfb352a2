#include "failures.hpp"

#include <algorithm>
#include <array>
#include <boost/math/special_functions/gamma.hpp>
#include <cmath>
#include <stdexcept>

namespace deckcart::evidence {
namespace {

// Odds from a fifth more to thirty times: below that a release is not worth stopping on failures alone, above
// it any of the last ones is as quick. Equal weights: no effect is thought likelier before the release has
// run.
constexpr std::array kOddsTimes = {1.2, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0};

double logChoose(double n, double k) {
    return boost::math::lgamma(n + 1) - boost::math::lgamma(k + 1) - boost::math::lgamma(n - k + 1);
}

double logOfSum(const std::vector<double> &logs) {
    const double most = *std::max_element(logs.begin(), logs.end());
    double sum = 0;
    for (const double l : logs) sum += std::exp(l - most);
    return most + std::log(sum);
}

}  // namespace

FailureEvidence::FailureEvidence() : logs(kOddsTimes.size(), 0) {}

void FailureEvidence::take(const Block &b) {
    if (b.trial.failures > b.trial.reqs || b.earlier.failures > b.earlier.reqs)
        throw std::invalid_argument("a block has more failures than reqs");
    const auto n = double(b.trial.reqs), m = double(b.earlier.reqs);
    const auto x = double(b.trial.failures), failures = x + double(b.earlier.failures);
    const double least = std::max(0.0, failures - m), most = std::min(n, failures);
    if (least >= most) return;  // only one outcome is possible
    const double whole = logChoose(n + m, failures);
    std::vector<double> null, terms;
    for (double of = least; of <= most; ++of)
        null.push_back(logChoose(n, of) + logChoose(m, failures - of) - whole);
    for (std::size_t k = 0; k < logs.size(); ++k) {
        const double log = std::log(kOddsTimes[k]);
        terms = null;
        for (std::size_t of = 0; of < terms.size(); ++of) terms[of] += (least + double(of)) * log;
        logs[k] += x * log - logOfSum(terms);
    }
}

double FailureEvidence::worse() const { return std::exp(logOfSum(logs)) / double(logs.size()); }

double FailureEvidence::oddsTimes() const {
    return kOddsTimes[std::size_t(std::max_element(logs.begin(), logs.end()) - logs.begin())];
}

}  // namespace deckcart::evidence
