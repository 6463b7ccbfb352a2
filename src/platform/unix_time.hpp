// Converts Unix time, as used in the platform's documents, to the gateway's clock. Used by
// PlatformControlPlaneClient.
#pragma once

#include <cstdint>

#include "../base/clock.hpp"

namespace deckcart::platform {

/// Converts Unix time in milliseconds to the gateway's clock. The offset between the two clocks is
/// read once per process, so that a given Unix time is always converted to the same time point,
/// even after the wall clock is adjusted.
TimePoint fromUnixMs(std::int64_t unixMs);

}  // namespace deckcart::platform
