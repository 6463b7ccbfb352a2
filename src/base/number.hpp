// Strict parsing of numbers, for headers, commands and documents.
#pragma once

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>

namespace deckcart {

/// Parses a text that consists of one number only. Empty if the text holds anything else, or a
/// number that is not finite.
[[nodiscard]] inline std::optional<double>
parseNumber(std::string_view text, std::chars_format format = std::chars_format::general) {
    double value = 0;
    const char *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, value, format);
    if (error != std::errc{} || end != last || !std::isfinite(value))
        return std::nullopt;
    return value;
}

}  // namespace deckcart
