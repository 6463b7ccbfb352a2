// Time is passed in: a gateway reads it through this interface, steady in service, set by hand in tests.
#pragma once

#include <chrono>

namespace deckcart {

using Span = std::chrono::microseconds;  // a time is the span since the clock's start

class Clock {
  public:
    virtual ~Clock() = default;
    virtual Span now() const = 0;
};

// CLOCK_MONOTONIC, the same in all processes of one machine until it restarts.
class SteadyClock final : public Clock {
  public:
    Span now() const override {
        return std::chrono::duration_cast<Span>(std::chrono::steady_clock::now().time_since_epoch());
    }
};

inline double milliseconds(Span s) { return std::chrono::duration<double, std::milli>(s).count(); }

}  // namespace deckcart
