// Parsing of RESP2 messages split at every position, limits, and invalid messages.
#include <gtest/gtest.h>

#include "../../src/resp/message.hpp"

namespace deckcart::resp {
namespace {

using What = Parser::What;

// Parses a message that is fed in two parts, split at `splitAt`, and followed by the start of
// another message. Returns nullopt if it is invalid or incomplete.
std::optional<Value> parse(What type, const std::string &bytes, std::size_t splitAt,
                           const Limits &limits = {}) {
    Parser parser(type, limits);
    const std::string nextMessage = type == What::command ? "*1" : "+x";
    const std::string input = bytes + nextMessage;
    std::size_t consumed = parser.feed(std::string_view(input).substr(0, splitAt));
    if (!parser.done() && !parser.faulty())
        consumed += parser.feed(std::string_view(input).substr(splitAt));
    if (parser.faulty() || !parser.done())
        return std::nullopt;
    EXPECT_EQ(consumed, bytes.size()) << "bytes of the next message must not be consumed";
    return parser.take();
}

TEST(RespMessage, ParsesMessageSplitAtAnyPosition) {
    const std::string request = command({"Q.ASK", "", "id", std::string(300, 'v')});
    for (std::size_t splitAt = 0; splitAt <= request.size(); ++splitAt) {
        const auto value = parse(What::command, request, splitAt);
        ASSERT_TRUE(value) << splitAt;
        ASSERT_EQ(value->items.size(), 4u);
        EXPECT_EQ(*value->items[1], "");
        EXPECT_EQ(value->items[3]->size(), 300u);
    }
    const std::string reply = "*3\r\n$5\r\na\r\nbc\r\n$-1\r\n$0\r\n\r\n";
    for (std::size_t splitAt = 0; splitAt <= reply.size(); ++splitAt) {
        const auto value = parse(What::reply, reply, splitAt);
        ASSERT_TRUE(value) << splitAt;
        EXPECT_EQ(*value->items[0], "a\r\nbc");
        EXPECT_FALSE(value->items[1]);
        EXPECT_EQ(*value->items[2], "");
    }
}

TEST(RespMessage, ParsesRepliesOfEachKind) {
    const auto kind = [](const std::string &bytes) {
        return parse(What::reply, bytes, 0).value().kind;
    };
    EXPECT_EQ(kind("+PONG\r\n"), Value::Kind::simple);
    EXPECT_EQ(kind("-BUSY 10\r\n"), Value::Kind::error);
    EXPECT_EQ(kind(":-12\r\n"), Value::Kind::integer);
    EXPECT_EQ(kind("$-1\r\n"), Value::Kind::null);
    EXPECT_EQ(kind("*-1\r\n"), Value::Kind::null);
    EXPECT_EQ(parse(What::reply, "-BUSY 10\r\n", 3)->text, "BUSY 10");
}

TEST(RespMessage, RejectsInvalidMessagesSplitAtAnyPosition) {
    const std::vector<std::string> replies{"xxxx",
                                           "*3\r\n*3\r\n",
                                           "*3\r\n$-7\r\n",
                                           "*3\r\n$4\r\nabcdefgh\r\n",
                                           "*1000000000\r\n",
                                           "*3\r\n$3000000000\r\n",
                                           "$+3\r\nabc\r\n",
                                           "$99999999999999999999\r\n",
                                           "+a\nb\r\n",
                                           "+a\rb\r\n",
                                           "*0\r\n",
                                           ":x\r\n",
                                           "$\r\n",
                                           std::string(4, '\0')};
    for (const auto &bytes : replies)
        for (std::size_t splitAt = 0; splitAt <= bytes.size(); ++splitAt) {
            Parser parser(What::reply, {});
            parser.feed(std::string_view(bytes).substr(0, splitAt));
            parser.feed(std::string_view(bytes).substr(splitAt));
            EXPECT_TRUE(parser.faulty()) << bytes << " split at " << splitAt;
            EXPECT_FALSE(parser.fault().empty());
        }
    for (const std::string bytes :
         {"PING\r\n", "$4\r\nPING\r\n", "*1\r\n:4\r\n", "*1\r\n$-1\r\n", "*-1\r\n", "*1\n"}) {
        Parser parser(What::command, {});
        parser.feed(bytes);
        EXPECT_TRUE(parser.faulty()) << bytes;
    }
}

TEST(RespMessage, EnforcesLimitsBeforeTheBytesAreReceived) {
    const Limits limits{3, 10, 16, 8};
    EXPECT_TRUE(parse(What::reply, bulk(std::string(10, 'a')), 0, limits));
    EXPECT_FALSE(parse(What::reply, "$11\r\n", 0, limits));
    EXPECT_FALSE(parse(What::reply, "*4\r\n", 0, limits));
    EXPECT_FALSE(parse(What::reply, "*2\r\n" + bulk(std::string(10, 'a')) + "$7\r\n", 0, limits))
        << "over totalBytes";
    EXPECT_FALSE(parse(What::reply, "+123456789012\r\n", 0, limits));
    Parser parser(What::command, {});
    std::size_t consumed = 0;
    while (!parser.faulty() && consumed < 100000)
        consumed += parser.feed("*1111111111111111");
    EXPECT_LT(consumed, 100u) << "an endless line is rejected early";
}

TEST(RespMessage, ErrorTextIsCutAtTheFirstLineEnd) {
    EXPECT_EQ(error("ERR a\r\n+OK"), "-ERR a\r\n");
}

}  // namespace
}  // namespace deckcart::resp
