// The conversion of a lookup's result into a reading.
#include "../../src/membership/claims.hpp"
#include "dns_fixture.hpp"

namespace deckcart::test {
namespace {

TEST(DnsClaims, WeightsAreRelativeAndSharedByAddresses) {
    LookupResult found;
    found.outcome = LookupOutcome::servers;
    const auto addTarget = [&](Srv record, std::vector<asio::ip::address> addresses) {
        found.targets.push_back({std::move(record), std::move(addresses)});
    };
    addTarget({0, 10, 80, "a."}, {kIpv4, kOtherIpv4});
    addTarget({0, 20, 81, "b."}, {kIpv4});
    addTarget({0, 0, 82, "c."}, {kIpv4});
    addTarget({5, 0, 83, "d."}, {kIpv4});
    const auto reading =
        membership::makeReading({kName, 7, 0, 0}, found, seconds(1), seconds(9), "ns");
    ASSERT_EQ(reading.claims.size(), 5u);
    EXPECT_DOUBLE_EQ(reading.claims[0].entry.weight, 0.25);
    EXPECT_DOUBLE_EQ(reading.claims[2].entry.weight, 1);
    EXPECT_DOUBLE_EQ(reading.claims[3].entry.weight, 0.005) << "weight 0 is a very small chance";
    EXPECT_DOUBLE_EQ(reading.claims[4].entry.weight, 1) << "no target of its class has a weight";
    EXPECT_EQ(reading.claims[0].entry.id, "192.0.2.1:80");
    EXPECT_EQ(reading.claims[0].entry.build, 7);
}

}  // namespace
}  // namespace deckcart::test
