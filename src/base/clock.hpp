// Time types and the clock interface. A gateway reads the time through this interface, so that
// tests can set it.
#pragma once

#include <chrono>

namespace deckcart {

/// A length of time in microseconds.
using Duration = std::chrono::microseconds;
/// A point in time: the duration since the epoch of the clock. The same type as Duration for now.
using TimePoint = Duration;

/// A source of the current time, which never goes back.
class Clock {
  public:
    virtual ~Clock() = default;
    [[nodiscard]] virtual TimePoint now() const = 0;
};

/// CLOCK_MONOTONIC: the same for all processes of a machine until the machine restarts.
class SteadyClock final : public Clock {
  public:
    [[nodiscard]] TimePoint now() const override {
        return std::chrono::duration_cast<Duration>(
            std::chrono::steady_clock::now().time_since_epoch());
    }
};

/// The duration in milliseconds with fractions, as written in documents and logs.
[[nodiscard]] inline double milliseconds(Duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace deckcart
