// Exponential backoff. Used by reconnecting streams and by the resolver.
#pragma once

#include <algorithm>
#include <cmath>

#include "clock.hpp"

namespace deckcart {

// 64 times the first delay, which reaches the maximum delay of every caller.
constexpr int kMaxDoublings = 6;

/// The delay before the next retry. Doubles with each failure, from `initialDelay` up to
/// `maxDelay`.
/// @param failures  number of consecutive failures before this one, 0 or more
/// @param jitter  0 to 1: the delay is multiplied by it. The caller draws it at random, so that
///                many clients don't retry at the same time.
[[nodiscard]] inline Duration backoffDelay(Duration initialDelay, Duration maxDelay, int failures,
                                           double jitter) {
    const Duration delay =
        std::min(maxDelay, initialDelay * (1 << std::min(failures, kMaxDoublings)));
    return Duration{std::llround(double(delay.count()) * jitter)};
}

}  // namespace deckcart
