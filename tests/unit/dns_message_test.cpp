// DNS messages: written, read, cut and bounded.
#include "dns_fixture.hpp"

namespace deckcart::test {
namespace {

TEST(DnsMessage, ComesBackAsItWasWritten) {
    Message m = reply(
        {srv("r1.example.org.", 1, 2, 3), {"alias.example.org.", 5, Alias{"r1.example.org."}}},
        {{"r1.example.org.", 60, kFour}, {"r1.example.org.", 60, kSix}});
    m.id = 77, m.question = Question{kName, Type::srv};
    m.authority = {{"example.org.", 9, Soa{4}}};
    const auto bytes = encode(m);
    const auto got = decode(bytes.data(), bytes.size());
    ASSERT_TRUE(got.message) << got.fault;
    EXPECT_EQ(got.message->id, 77);
    EXPECT_EQ(got.message->question, m.question);
    EXPECT_EQ(got.message->answers, m.answers);
    EXPECT_EQ(got.message->authority, m.authority);
    EXPECT_EQ(got.message->additional, m.additional);
}

TEST(DnsMessage, AnyCutIsAFaultOrAMessage) {
    Message m = reply({srv("r1.example.org.")}, {{"r1.example.org.", 60, kFour}});
    m.question = Question{kName, Type::srv};
    const auto bytes = encode(m);
    for (std::size_t k = 0; k < bytes.size(); ++k) {
        const auto got = decode(bytes.data(), k);
        EXPECT_FALSE(got.message) << k;
        EXPECT_FALSE(got.fault.empty()) << k;
    }
}

TEST(DnsMessage, CountsOverTheBoundAreRefusedUnread) {
    auto bytes = encode(reply({srv("r1.example.org.")}));
    bytes[6] = 0xff;
    EXPECT_EQ(decode(bytes.data(), bytes.size()).fault, "the message has too many records");
}

TEST(DnsMessage, ALifetimeWithTheHighestBitIsNone) {
    auto m = reply({srv("r1.example.org.")});
    m.answers[0].seconds = 0x80000001u;
    const auto bytes = encode(m);
    EXPECT_EQ(decode(bytes.data(), bytes.size()).message->answers[0].seconds, 0u);
}

TEST(DnsMessage, NamesAreCanonicalOrNone) {
    EXPECT_EQ(canonicalName("_Relay._TCP.Example.org"), "_relay._tcp.example.org.");
    EXPECT_EQ(canonicalName("a..b"), "");
    EXPECT_EQ(canonicalName("a b"), "");
    EXPECT_EQ(canonicalName(std::string(64, 'a')), "");
    EXPECT_TRUE(within("r1.example.org.", "example.org."));
    EXPECT_FALSE(within("r1.badexample.org.", "example.org."));
}

}  // namespace
}  // namespace deckcart::test
