// The pure parts of the HTTP transport: which route a request belongs to, what an endpoint reports
// of its load.
#include <gtest/gtest.h>

#include "../../src/gateway/load_report.hpp"
#include "../../src/gateway/route_matcher.hpp"

namespace deckcart {
namespace {

RouteRule route(const std::string &method, const std::string &pathPrefix) {
    RouteRule rule;
    rule.method = method;
    rule.pathPrefix = pathPrefix;
    return rule;
}

TEST(RouteMatcher, TheFirstThatMatchesTakesTheRequest) {
    const std::vector<RouteRule> routes{route("POST", "/a"), route("", "/a/b"), route("", "/")};
    EXPECT_EQ(matchRoute(routes, "POST", "/a/b"), std::optional<std::size_t>(0));
    EXPECT_EQ(matchRoute(routes, "GET", "/a/b"), std::optional<std::size_t>(1));
    EXPECT_EQ(matchRoute(routes, "GET", "/c"), std::optional<std::size_t>(2));
}

TEST(RouteMatcher, AQueryIsNoPartOfThePath) {
    const std::vector<RouteRule> routes{route("", "/a?b")};
    EXPECT_FALSE(matchRoute(routes, "GET", "/a?b"));
    EXPECT_TRUE(matchRoute({route("", "/a")}, "GET", "/a?b"));
}

TEST(RouteMatcher, WithoutAMatchThereIsNone) {
    EXPECT_FALSE(matchRoute({}, "GET", "/"));
    EXPECT_FALSE(matchRoute({route("post", "/")}, "POST", "/")) << "methods have their case";
}

TEST(LoadReport, NumbersBetweenCommasAndBlanks) {
    EXPECT_EQ(parseLoadReport("12.5, 3"), (std::vector<double>{12.5, 3}));
    EXPECT_EQ(parseLoadReport(" 1,2 3,,4 "), (std::vector<double>{1, 2, 3, 4}));
}

TEST(LoadReport, FourAtMost) {
    EXPECT_EQ(parseLoadReport("1 2 3 4 5"), (std::vector<double>{1, 2, 3, 4}));
}

TEST(LoadReport, EndsAtWhatIsNoNumber) {
    EXPECT_EQ(parseLoadReport("1, x, 3"), std::vector<double>{1});
    EXPECT_TRUE(parseLoadReport("none").empty());
    EXPECT_TRUE(parseLoadReport("").empty());
    EXPECT_TRUE(parseLoadReport(" , ").empty());
}

}  // namespace
}  // namespace deckcart
