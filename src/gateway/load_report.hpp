// The load that an endpoint reports in answer to a probe. Pure.
#pragma once

#include <string_view>
#include <vector>

namespace deckcart {

/// Reads numbers that are separated by commas or blanks, at most four, up to the first that is
/// none. Empty where there is not one.
[[nodiscard]] std::vector<double> parseLoadReport(std::string_view text);

}  // namespace deckcart
