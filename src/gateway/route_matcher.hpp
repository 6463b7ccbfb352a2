// Which route an HTTP request belongs to. Pure.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "../settings/gateway_settings.hpp"

namespace deckcart {

/// The place of the first route whose method (empty: any) and path prefix match. `target` is the
/// request's target: a query is no part of the path. Empty where no route matches.
[[nodiscard]] std::optional<std::size_t>
matchRoute(const std::vector<RouteRule> &routes, std::string_view method, std::string_view target);

}  // namespace deckcart
