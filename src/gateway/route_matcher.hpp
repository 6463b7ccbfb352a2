// Finds the route of an HTTP request.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "../settings/gateway_settings.hpp"

namespace deckcart {

/// Returns the index of the first route whose method (empty matches any) and path prefix match.
/// `target` is the request target; its query is not part of the path. Empty if no route matches.
[[nodiscard]] std::optional<std::size_t>
matchRoute(const std::vector<RouteRule> &routes, std::string_view method, std::string_view target);

}  // namespace deckcart
