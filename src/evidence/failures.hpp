// Whether one build fails more often than another that runs beside it, at a stated error rate however often
// one looks. Pure: counts in, figures out. Given the totals of a block, the failures of the build on trial
// follow, if both fail alike, the hypergeometric distribution, whatever their common rate is in that block:
// surges and slowdowns that hit both cancel. Against odds t times as high they follow Fisher's noncentral
// one, so that
//     e_t = t^x / E[t^X]   (X hypergeometric)
// has mean 1 under the null (Johnson, Kotz, Balakrishnan: Univariate Discrete Distributions, 6.11). Products
// over blocks are test martingales, and so is their weighted sum over a grid of t; by Ville's inequality it
// reaches 1/a with a chance of at most a, over all looks (Ramdas, Gruenwald, Vovk, Shafer: Game-theoretic
// statistics, 2023).
#pragma once

#include <cstdint>
#include <vector>

namespace deckcart::evidence {

struct BuildCounts {
    std::uint64_t reqs = 0, failures = 0;  // failures <= reqs
};

// One block of one stratum: a short time, a route, a gateway or zone.
struct Block {
    BuildCounts trial, earlier;
};

class FailureEvidence {
  public:
    FailureEvidence();
    // Throws std::invalid_argument where there are more failures than reqs. A block in which only one build
    // ran, or none or all failed, says nothing and changes nothing.
    void take(const Block &block);
    // The e-value that the build on trial fails more often; at least 1 / a calls it worse at error rate a.
    double worse() const;
    // The best supported odds, how many times as high as the earlier build's, of the grid.
    double oddsTimes() const;

  private:
    std::vector<double> logs;  // by odds of the grid
};

}  // namespace deckcart::evidence
