// Random numbers of one gateway, from its seed. The order of draws must not change: replays depend
// on it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace deckcart::policy {

class RandomSource {
  public:
    explicit RandomSource(std::uint64_t seed)
        : generator(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))) {}

    /// Uniform in [0, 1).
    double chance() { return double(generator()) / 4294967296.0; }
    /// Uniform in [0, bound).
    std::size_t below(std::size_t bound) { return std::size_t(generator() % bound); }

  private:
    std::mt19937 generator;
};

}  // namespace deckcart::policy
