// How long to wait before what has failed is attempted again. Used by reconnecting streams and the
// resolver.
#pragma once

#include <algorithm>
#include <cmath>

#include "clock.hpp"

namespace deckcart {

// Sixty-four times the first wait: by then every caller's longest wait is reached.
constexpr int kMaxDoublings = 6;

/// Doubles with each failure, from `first` up to `most`.
/// @param failures  in a row, before this one; 0 or more
/// @param part  0 to 1, drawn by the caller so that many of them spread: the part to be waited
[[nodiscard]] inline Duration backedOff(Duration first, Duration most, int failures, double part) {
    const Duration whole = std::min(most, first * (1 << std::min(failures, kMaxDoublings)));
    return Duration{std::llround(double(whole.count()) * part)};
}

}  // namespace deckcart
