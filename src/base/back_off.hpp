// How long to wait before what has failed is tried again.
#pragma once

#include <algorithm>
#include <cmath>

#include "clock.hpp"

namespace deckcart {

// Doubles with each failure in a row before this one, from `first` up to `most`; of it the drawn
// part.
inline Duration backedOff(Duration first, Duration most, int failures, double part) {
    const Duration whole = std::min(most, first * (1 << std::min(failures, 6)));
    return Duration{std::llround(double(whole.count()) * part)};
}

}  // namespace deckcart
