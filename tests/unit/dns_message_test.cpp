// Encoding and decoding of DNS messages, also of truncated and oversized ones.
#include "dns_fixture.hpp"

namespace deckcart::test {
namespace {

TEST(DnsMessage, DecodesWhatWasEncoded) {
    Message message = reply(
        {srv("r1.example.org.", 1, 2, 3), {"alias.example.org.", 5, Cname{"r1.example.org."}}},
        {{"r1.example.org.", 60, kIpv4}, {"r1.example.org.", 60, kIpv6}});
    message.id = 77, message.question = Question{kName, RecordType::srv};
    message.authority = {{"example.org.", 9, Soa{4}}};
    const auto bytes = encode(message);
    const auto decoded = decode(bytes.data(), bytes.size());
    ASSERT_TRUE(decoded.message) << decoded.fault;
    EXPECT_EQ(decoded.message->id, 77);
    EXPECT_EQ(decoded.message->question, message.question);
    EXPECT_EQ(decoded.message->answers, message.answers);
    EXPECT_EQ(decoded.message->authority, message.authority);
    EXPECT_EQ(decoded.message->additional, message.additional);
}

TEST(DnsMessage, AMessageCutAtAnyByteIsAFault) {
    Message message = reply({srv("r1.example.org.")}, {{"r1.example.org.", 60, kIpv4}});
    message.question = Question{kName, RecordType::srv};
    const auto bytes = encode(message);
    for (std::size_t k = 0; k < bytes.size(); ++k) {
        const auto decoded = decode(bytes.data(), k);
        EXPECT_FALSE(decoded.message) << k;
        EXPECT_FALSE(decoded.fault.empty()) << k;
    }
}

TEST(DnsMessage, RejectsTooManyRecordsByTheirCount) {
    auto bytes = encode(reply({srv("r1.example.org.")}));
    bytes[6] = 0xff;
    EXPECT_EQ(decode(bytes.data(), bytes.size()).fault, "the message has too many records");
}

TEST(DnsMessage, ATtlWithTheHighestBitIsZero) {
    auto message = reply({srv("r1.example.org.")});
    message.answers[0].ttlSeconds = 0x80000001u;
    const auto bytes = encode(message);
    EXPECT_EQ(decode(bytes.data(), bytes.size()).message->answers[0].ttlSeconds, 0u);
}

TEST(DnsMessage, NamesAreCanonicalOrEmpty) {
    EXPECT_EQ(canonicalName("_Relay._TCP.Example.org"), "_relay._tcp.example.org.");
    EXPECT_EQ(canonicalName("a..b"), "");
    EXPECT_EQ(canonicalName("a b"), "");
    EXPECT_EQ(canonicalName(std::string(64, 'a')), "");
    EXPECT_TRUE(within("r1.example.org.", "example.org."));
    EXPECT_FALSE(within("r1.badexample.org.", "example.org."));
}

}  // namespace
}  // namespace deckcart::test
