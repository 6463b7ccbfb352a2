// Unix time of the platform's documents on the gateway's own clock. Called by the control plane
// client; pure but for the one reading of both clocks.
#pragma once

#include <cstdint>

#include "../base/clock.hpp"

namespace deckcart::platform {

/// Converts Unix time in milliseconds to the gateway's clock. The offset between the two clocks is
/// read once a process, so that the same moment is always converted to the same point in time, also
/// after a step of the wall clock.
TimePoint fromUnixMs(std::int64_t unixMs);

}  // namespace deckcart::platform
