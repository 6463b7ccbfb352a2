// How a lookup interprets the replies to its questions, without sockets.
#include "dns_fixture.hpp"

namespace deckcart::test {
namespace {

TEST(DnsLookup, TrustsAdditionalAddressesWithinTheDomainOnly) {
    Lookup lookup(kName);
    EXPECT_EQ(lookup.takeQuestions(), std::vector{askedFor(kName, RecordType::srv)});
    lookup.onReply(askedFor(kName, RecordType::srv),
                   reply({srv("in.example.org."), srv("out.example.com.")},
                         {{"in.example.org.", 20, kIpv4}, {"out.example.com.", 20, kOtherIpv4}}));
    EXPECT_EQ(lookup.takeQuestions(), std::vector{askedFor("out.example.com.", RecordType::a)});
    lookup.onReply(askedFor("out.example.com.", RecordType::a),
                   reply({{"out.example.com.", 10, kIpv4}}));
    ASSERT_TRUE(lookup.finished());
    EXPECT_EQ(lookup.result().outcome, LookupOutcome::servers);
    EXPECT_EQ(lookup.result().targets.size(), 2u);
    EXPECT_EQ(lookup.result().ttlSeconds, 10u) << "the least TTL of all records used";
}

TEST(DnsLookup, QueriesForIpv6OnlyWithoutIpv4) {
    Lookup lookup(kName);
    lookup.takeQuestions();
    lookup.onReply(askedFor(kName, RecordType::srv), reply({srv("r.example.com.")}));
    EXPECT_EQ(lookup.takeQuestions(), std::vector{askedFor("r.example.com.", RecordType::a)});
    lookup.onReply(askedFor("r.example.com.", RecordType::a), reply({}));
    EXPECT_EQ(lookup.takeQuestions(), std::vector{askedFor("r.example.com.", RecordType::aaaa)});
    lookup.onReply(askedFor("r.example.com.", RecordType::aaaa),
                   reply({{"r.example.com.", 10, kIpv6}}));
    ASSERT_TRUE(lookup.finished());
    EXPECT_EQ(lookup.result().targets[0].addresses, std::vector{kIpv6});
}

TEST(DnsLookup, FollowsAliasesOfTheOwnerUpToALimit) {
    Lookup lookup(kName);
    lookup.takeQuestions();
    lookup.onReply(askedFor(kName, RecordType::srv),
                   reply({{kName, 7, Cname{"else.example.org."}}}));
    EXPECT_EQ(lookup.takeQuestions(), std::vector{askedFor("else.example.org.", RecordType::srv)});
    lookup.onReply(askedFor("else.example.org.", RecordType::srv),
                   reply({{"else.example.org.", 30, Srv{0, 0, 80, "r.else.example.org."}}},
                         {{"r.else.example.org.", 30, kIpv4}}));
    ASSERT_TRUE(lookup.finished());
    EXPECT_EQ(lookup.result().targets.size(), 1u);
    EXPECT_EQ(lookup.result().ttlSeconds, 7u);

    Lookup loop(kName);
    loop.takeQuestions();
    loop.onReply(askedFor(kName, RecordType::srv),
                 reply({{kName, 7, Cname{"b.org."}}, {"b.org.", 7, Cname{kName}}}));
    EXPECT_EQ(loop.result().fault, "alias loop");

    Lookup chain(kName);
    chain.takeQuestions();
    std::vector<Record> links{{kName, 7, Cname{"n0.org."}}};
    for (int k = 0; k < 10; ++k)
        links.push_back(
            {"n" + std::to_string(k) + ".org.", 7, Cname{"n" + std::to_string(k + 1) + ".org."}});
    chain.onReply(askedFor(kName, RecordType::srv), reply(links));
    EXPECT_EQ(chain.result().fault, "alias chain too long");
}

TEST(DnsLookup, AnAliasWithoutRecordsEndsTheLookup) {
    Lookup lookup(kName);
    lookup.takeQuestions();
    lookup.onReply(askedFor(kName, RecordType::srv),
                   reply({{kName, 7, Cname{"else.example.org."}}}));
    EXPECT_EQ(lookup.takeQuestions().size(), 1u);
    lookup.onReply(askedFor("else.example.org.", RecordType::srv),
                   reply({}));  // without an SOA record
    EXPECT_TRUE(lookup.takeQuestions().empty()) << "the same question must not be repeated forever";
    ASSERT_TRUE(lookup.finished());
    EXPECT_EQ(lookup.result().outcome, LookupOutcome::noData);
}

TEST(DnsLookup, AnAliasAsTargetIsAnErrorOfThatTarget) {
    Lookup lookup(kName);
    lookup.takeQuestions();
    lookup.onReply(
        askedFor(kName, RecordType::srv),
        reply({srv("bad.example.com."), srv("r.example.org.")}, {{"r.example.org.", 9, kIpv4}}));
    lookup.takeQuestions();
    lookup.onReply(askedFor("bad.example.com.", RecordType::a),
                   reply({{"bad.example.com.", 5, Cname{"r2.example.com."}},
                          {"r2.example.com.", 5, kOtherIpv4}}));
    ASSERT_TRUE(lookup.finished());
    ASSERT_EQ(lookup.result().targets.size(), 1u);
    EXPECT_EQ(lookup.result().targets[0].srv.target, "r.example.org.");
    EXPECT_NE(lookup.result().notes.at(0).find("RFC 2782"), std::string::npos);
}

TEST(DnsLookup, DistinguishesTheNegativeAnswers) {
    const auto resultOf = [](const Message &message) {
        Lookup lookup(kName);
        lookup.takeQuestions();
        lookup.onReply(askedFor(kName, RecordType::srv), message);
        EXPECT_TRUE(lookup.finished());
        return lookup.result();
    };
    EXPECT_EQ(resultOf(reply({srv(".")})).outcome, LookupOutcome::notOffered);
    auto empty = reply({});
    empty.authority = {{"example.org.", 20, Soa{7}}};
    EXPECT_EQ(resultOf(empty).outcome, LookupOutcome::noData);
    EXPECT_EQ(resultOf(empty).ttlSeconds, 7u) << "the lesser of TTL and MINIMUM";
    empty.code = std::uint8_t(ResponseCode::nxDomain);
    EXPECT_EQ(resultOf(empty).outcome, LookupOutcome::noName);
    EXPECT_EQ(resultOf(reply({srv("r.example.org.", 0, 0, 0)})).outcome, LookupOutcome::noData)
        << "port 0 is not valid";
}

TEST(DnsLookup, CachedAddressesSaveQuestionsAndReplaceFailures) {
    Lookup lookup(kName,
                  {{"far.example.com.", {{kIpv4}, 12}}, {"old.example.com.", {{kOtherIpv4}, 0}}});
    lookup.takeQuestions();
    lookup.onReply(
        askedFor(kName, RecordType::srv),
        reply({srv("far.example.com."), srv("old.example.com."), srv("new.example.com.")}));
    EXPECT_EQ(lookup.takeQuestions().size(), 2u)
        << "none for the target with a valid cached address";
    lookup.onFailure(askedFor("old.example.com.", RecordType::a), "no answer in time");
    lookup.onFailure(askedFor("new.example.com.", RecordType::a), "no answer in time");
    ASSERT_TRUE(lookup.finished());
    EXPECT_EQ(lookup.result().targets.size(), 2u);
    EXPECT_EQ(lookup.result().unresolved, std::vector<std::string>{"new.example.com."});
}

TEST(DnsLookup, LimitsTargetsAndAddresses) {
    Lookup lookup(kName, {}, {.targets = 2, .aliases = 8, .addresses = 1});
    lookup.takeQuestions();
    lookup.onReply(askedFor(kName, RecordType::srv),
                   reply({srv("a.example.org."), srv("b.example.org."), srv("c.example.org.")},
                         {{"a.example.org.", 9, kIpv4},
                          {"a.example.org.", 9, kOtherIpv4},
                          {"b.example.org.", 9, kIpv4}}));
    ASSERT_TRUE(lookup.finished());
    EXPECT_EQ(lookup.result().targets.size(), 2u);
    EXPECT_EQ(lookup.result().targets[0].addresses.size(), 1u);
}

}  // namespace
}  // namespace deckcart::test
