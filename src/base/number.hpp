// A number that is the whole of a text. Used by readers of headers, commands and documents.
#pragma once

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>

namespace deckcart {

/// Empty where the text holds anything else, or a number that is not finite.
[[nodiscard]] inline std::optional<double>
wholeNumber(std::string_view text, std::chars_format form = std::chars_format::general) {
    double value = 0;
    const char *last = text.data() + text.size();
    const auto [end, fault] = std::from_chars(text.data(), last, value, form);
    if (fault != std::errc{} || end != last || !std::isfinite(value))
        return std::nullopt;
    return value;
}

}  // namespace deckcart
