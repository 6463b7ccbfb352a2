// What a lookup found, as claims of a source.
#include "../../src/membership/claims.hpp"
#include "dns_fixture.hpp"

namespace deckcart::test {
namespace {

TEST(DnsClaims, WeightsAreRelativeAndSharedByAddresses) {
    Found found;
    found.kind = LookupOutcome::servers;
    const auto target = [&](Srv of, std::vector<asio::ip::address> addresses) {
        found.targets.push_back({std::move(of), std::move(addresses)});
    };
    target({0, 10, 80, "a."}, {kFour, kFourB});
    target({0, 20, 81, "b."}, {kFour});
    target({0, 0, 82, "c."}, {kFour});
    target({5, 0, 83, "d."}, {kFour});
    const auto r = membership::readingOf({kName, 7, 0, 0}, found, seconds(1), seconds(9), "ns");
    ASSERT_EQ(r.claims.size(), 5u);
    EXPECT_DOUBLE_EQ(r.claims[0].entry.weight, 0.25);
    EXPECT_DOUBLE_EQ(r.claims[2].entry.weight, 1);
    EXPECT_DOUBLE_EQ(r.claims[3].entry.weight, 0.005) << "a very small chance";
    EXPECT_DOUBLE_EQ(r.claims[4].entry.weight, 1) << "none of its class has a weight";
    EXPECT_EQ(r.claims[0].entry.id, "192.0.2.1:80");
    EXPECT_EQ(r.claims[0].entry.build, 7);
}

}  // namespace
}  // namespace deckcart::test
