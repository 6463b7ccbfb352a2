// Which server is queried and when a name is looked up again, without sockets and on virtual time.
#include "../../src/dns/query_schedule.hpp"
#include "dns_fixture.hpp"

namespace deckcart::test {
namespace {

TEST(DnsQuerySchedule, RetriesOverTcpAndThenWithTheNextServer) {
    QueryAttempts attempts({2, 0}, 1);
    auto attempt = attempts.next();
    ASSERT_TRUE(attempt);
    EXPECT_EQ(attempt->server, 2u);
    EXPECT_FALSE(attempt->tcp);
    auto truncated = reply({});
    truncated.truncated = true;
    EXPECT_EQ(attempts.onReply(truncated), QueryAttempts::ReplyUse::tryAgain);
    attempt = attempts.next();
    EXPECT_EQ(attempt->server, 2u);
    EXPECT_TRUE(attempt->tcp);
    attempts.onFailure("closed");
    attempt = attempts.next();
    EXPECT_EQ(attempt->server, 0u);
    EXPECT_FALSE(attempt->tcp) << "the next server is tried over UDP first";
    EXPECT_EQ(attempts.onReply(reply({}, {}, ResponseCode::servFail)),
              QueryAttempts::ReplyUse::tryAgain);
    attempt = attempts.next();
    EXPECT_EQ(attempt->server, 2u) << "the second round";
    EXPECT_GE(attempt->timeout, milliseconds(800));
    EXPECT_EQ(attempts.onReply(reply({})), QueryAttempts::ReplyUse::answer);
}

TEST(DnsQuerySchedule, EndsAndRetriesWithoutEdnsIfItIsNotSupported) {
    QueryAttempts attempts({0}, 1);
    EXPECT_TRUE(attempts.next()->edns);
    EXPECT_EQ(attempts.onReply(reply({}, {}, ResponseCode::formErr)),
              QueryAttempts::ReplyUse::tryAgain);
    EXPECT_FALSE(attempts.next()->edns);
    attempts.onFailure("no answer in time");
    int more = 0;
    for (; attempts.next(); ++more)
        attempts.onFailure("no answer in time");
    EXPECT_EQ(more, 1) << "two rounds in all";
    EXPECT_EQ(attempts.fault(), "no answer in time");
}

TEST(DnsQuerySchedule, RanksServersByTheirAnswers) {
    ServerRanking ranking(3);
    EXPECT_EQ(ranking.order(seconds(0)), (std::vector<std::size_t>{0, 1, 2}));
    ranking.onFailure(0, seconds(1));
    EXPECT_EQ(ranking.order(seconds(1)), (std::vector<std::size_t>{1, 2, 0}));
    EXPECT_EQ(ranking.order(seconds(3)), (std::vector<std::size_t>{0, 1, 2}))
        << "available again after 1 s";
    ranking.onFailure(0, seconds(3));
    EXPECT_EQ(ranking.order(seconds(4)), (std::vector<std::size_t>{1, 2, 0})) << "then after 2 s";
    for (int k = 0; k < 3; ++k)
        ranking.onFailure(std::size_t(k), milliseconds(9900 - 100 * k));
    EXPECT_EQ(ranking.order(milliseconds(9950)), (std::vector<std::size_t>{2, 1, 0}))
        << "all backed off: the one that failed longest ago first";
    ServerRanking fast(2);
    fast.onAnswer(0, milliseconds(90));
    fast.onAnswer(1, milliseconds(5));
    EXPECT_EQ(fast.order(seconds(0)), (std::vector<std::size_t>{1, 0}));
}

TEST(DnsQuerySchedule, ClampsLifetimesAndRefreshesBeforeTheirEnd) {
    RefreshSchedule refresh({seconds(5), seconds(600), seconds(60)}, 1);
    LookupResult found;
    found.outcome = LookupOutcome::servers;
    for (const auto &[ttl, expected] : std::vector<std::pair<std::uint32_t, Duration>>{
             {0, seconds(5)}, {30, seconds(30)}, {0x7fffffff, seconds(600)}}) {
        found.ttlSeconds = ttl;
        EXPECT_EQ(refresh.lifetime(found), expected);
    }
    found.outcome = LookupOutcome::noName;
    EXPECT_EQ(refresh.lifetime(found), seconds(60));
    Duration least = seconds(100), most{};
    for (int k = 0; k < 1000; ++k) {
        const Duration delay = refresh.delayAfterAnswer(seconds(100));
        least = std::min(least, delay), most = std::max(most, delay);
    }
    EXPECT_GE(least, seconds(70));
    EXPECT_LT(least, seconds(71));
    EXPECT_LE(most, seconds(90));
    EXPECT_GT(most, seconds(89));
    Duration last{};
    for (int k = 0; k < 12; ++k)
        last = refresh.delayAfterFailure();
    EXPECT_GE(last, seconds(15));
    EXPECT_LE(last, seconds(30));
}

TEST(DnsQuerySchedule, LimitsTheQuestionsPerSecond) {
    QueryRateLimiter limiter(10);
    Duration now{};
    int sent = 0;
    while (now < seconds(10)) {
        const Duration wait = limiter.take(now);
        if (wait == Duration{0})
            ++sent;
        now += wait;
    }
    EXPECT_GE(sent, 108);
    EXPECT_LE(sent, 110);
}

}  // namespace
}  // namespace deckcart::test
