// Time is passed in: a gateway reads it through this interface, steady in service, set by hand in
// tests.
#pragma once

#include <chrono>

namespace deckcart {

// A length of time in microseconds. Points in time are durations since the clock's start.
using Duration = std::chrono::microseconds;
// A point in time: the duration since the clock's start. The same type for now.
using TimePoint = Duration;

class Clock {
  public:
    virtual ~Clock() = default;
    virtual Duration now() const = 0;
};

// CLOCK_MONOTONIC, the same in all processes of one machine until it restarts.
class SteadyClock final : public Clock {
  public:
    Duration now() const override {
        return std::chrono::duration_cast<Duration>(
            std::chrono::steady_clock::now().time_since_epoch());
    }
};

inline double milliseconds(Duration s) {
    return std::chrono::duration<double, std::milli>(s).count();
}

}  // namespace deckcart
