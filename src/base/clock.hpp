// Time is passed in: a gateway reads it through this interface, steady in service, set by hand in
// tests.
#pragma once

#include <chrono>

namespace deckcart {

/// A length of time in microseconds.
using Duration = std::chrono::microseconds;
/// A point in time: the duration since the clock's start. The same type for now.
using TimePoint = Duration;

/// Never goes back.
class Clock {
  public:
    virtual ~Clock() = default;
    [[nodiscard]] virtual TimePoint now() const = 0;
};

/// CLOCK_MONOTONIC, the same in all processes of one machine until it restarts.
class SteadyClock final : public Clock {
  public:
    [[nodiscard]] TimePoint now() const override {
        return std::chrono::duration_cast<Duration>(
            std::chrono::steady_clock::now().time_since_epoch());
    }
};

/// With fractions, as documents and logs have it.
[[nodiscard]] inline double milliseconds(Duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace deckcart
