// Parses the load that an endpoint reports in response to a probe.
#pragma once

#include <string_view>
#include <vector>

namespace deckcart {

/// Reads up to four numbers, separated by commas or blanks, and stops at the first text that is
/// not a number. Empty if there is no number.
[[nodiscard]] std::vector<double> parseLoadReport(std::string_view text);

}  // namespace deckcart
