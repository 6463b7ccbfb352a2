// Lists of names and values, name=value with a character between: forms, commands, load reports.
#pragma once

#include <algorithm>
#include <string_view>

namespace deckcart::platform {

// Hands on each pair in order until `take` says false; false then, and at a part without a value.
template <class Take>
bool eachPair(std::string_view text, char between, Take take) {
    while (!text.empty()) {
        const auto part = text.substr(0, text.find(between));
        text.remove_prefix(std::min(text.size(), part.size() + 1));
        const auto at = part.find('=');
        if (at == std::string_view::npos || !take(part.substr(0, at), part.substr(at + 1)))
            return false;
    }
    return true;
}

}  // namespace deckcart::platform
