// Tests the route matching and the parsing of load reports of the HTTP transport.
#include <gtest/gtest.h>

#include "../../src/gateway/load_report.hpp"
#include "../../src/gateway/route_matcher.hpp"

namespace deckcart {
namespace {

RouteRule makeRoute(const std::string &method, const std::string &pathPrefix) {
    RouteRule rule;
    rule.method = method;
    rule.pathPrefix = pathPrefix;
    return rule;
}

TEST(RouteMatcher, FirstMatchingRouteIsChosen) {
    const std::vector<RouteRule> routes{makeRoute("POST", "/a"), makeRoute("", "/a/b"),
                                        makeRoute("", "/")};
    EXPECT_EQ(matchRoute(routes, "POST", "/a/b"), std::optional<std::size_t>(0));
    EXPECT_EQ(matchRoute(routes, "GET", "/a/b"), std::optional<std::size_t>(1));
    EXPECT_EQ(matchRoute(routes, "GET", "/c"), std::optional<std::size_t>(2));
}

TEST(RouteMatcher, QueryIsNotPartOfThePath) {
    const std::vector<RouteRule> routes{makeRoute("", "/a?b")};
    EXPECT_FALSE(matchRoute(routes, "GET", "/a?b"));
    EXPECT_TRUE(matchRoute({makeRoute("", "/a")}, "GET", "/a?b"));
}

TEST(RouteMatcher, ReturnsNothingWithoutAMatch) {
    EXPECT_FALSE(matchRoute({}, "GET", "/"));
    EXPECT_FALSE(matchRoute({makeRoute("post", "/")}, "POST", "/")) << "methods are case-sensitive";
}

TEST(LoadReport, NumbersSeparatedByCommasAndBlanks) {
    EXPECT_EQ(parseLoadReport("12.5, 3"), (std::vector<double>{12.5, 3}));
    EXPECT_EQ(parseLoadReport(" 1,2 3,,4 "), (std::vector<double>{1, 2, 3, 4}));
}

TEST(LoadReport, ReadsAtMostFourNumbers) {
    EXPECT_EQ(parseLoadReport("1 2 3 4 5"), (std::vector<double>{1, 2, 3, 4}));
}

TEST(LoadReport, StopsAtTextThatIsNotANumber) {
    EXPECT_EQ(parseLoadReport("1, x, 3"), std::vector<double>{1});
    EXPECT_TRUE(parseLoadReport("none").empty());
    EXPECT_TRUE(parseLoadReport("").empty());
    EXPECT_TRUE(parseLoadReport(" , ").empty());
}

}  // namespace
}  // namespace deckcart
