// Lists of names and values, name=value with a separator between: forms, the list of a command's
// names and values, load reports. Pure.
#pragma once

#include <algorithm>
#include <string_view>

namespace deckcart::platform {

/// Calls `visit(name, value)` with each pair in order until it returns false.
/// @return false where `visit` did, or at a part without "="
template <class Visit>
[[nodiscard]] bool forEachNameValue(std::string_view text, char separator, Visit visit) {
    while (!text.empty()) {
        const auto part = text.substr(0, text.find(separator));
        text.remove_prefix(std::min(text.size(), part.size() + 1));
        const auto equals = part.find('=');
        if (equals == std::string_view::npos ||
            !visit(part.substr(0, equals), part.substr(equals + 1)))
            return false;
    }
    return true;
}

}  // namespace deckcart::platform
