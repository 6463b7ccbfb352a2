#include "route_matcher.hpp"

#include <algorithm>

namespace deckcart {

std::optional<std::size_t> matchRoute(const std::vector<RouteRule> &routes, std::string_view method,
                                      std::string_view target) {
    const std::string_view path = target.substr(0, target.find('?'));
    const auto found = std::ranges::find_if(routes, [&](const RouteRule &route) {
        return (route.method.empty() || route.method == method) &&
               path.starts_with(route.pathPrefix);
    });
    if (found == routes.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - routes.begin());
}

}  // namespace deckcart
