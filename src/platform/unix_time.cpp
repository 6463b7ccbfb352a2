#include "unix_time.hpp"

namespace deckcart::platform {

TimePoint fromUnixMs(std::int64_t unixMs) {
    static const Duration offset =
        std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch() -
                                             std::chrono::steady_clock::now().time_since_epoch());
    return TimePoint{unixMs * 1000} - offset;
}

}  // namespace deckcart::platform
