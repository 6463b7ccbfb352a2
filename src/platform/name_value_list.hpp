// Iterates over lists of name=value pairs with a separator in between: form bodies, the fields of a
// command, load reports. Performs no I/O.
#pragma once

#include <algorithm>
#include <string_view>

namespace deckcart::platform {

/// Calls `visit(name, value)` for each pair in order until it returns false.
/// @return false if `visit` returned false or a pair has no "="
template <class Visit>
[[nodiscard]] bool forEachNameValue(std::string_view text, char separator, Visit visit) {
    while (!text.empty()) {
        const auto pair = text.substr(0, text.find(separator));
        text.remove_prefix(std::min(text.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos ||
            !visit(pair.substr(0, equals), pair.substr(equals + 1)))
            return false;
    }
    return true;
}

}  // namespace deckcart::platform
