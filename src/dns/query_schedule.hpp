// In which order, with which timeouts and how often a question is sent to several name servers,
// and when a name is looked up again. Pure: the time is passed in, randomness comes from a seed.
// Driven by the resolver.
#pragma once

#include <random>

#include "lookup.hpp"

namespace deckcart::dns {

/// Orders the name servers by how they answered so far. Servers are given by their index in the
/// settings.
class ServerRanking {
  public:
    explicit ServerRanking(std::size_t servers) : records(servers) {}
    void onAnswer(std::size_t server, Duration roundTrip);
    /// The server gave no reply, or no usable one.
    void onFailure(std::size_t server, TimePoint now);
    /// All servers, best first: those that are not backed off, in the operator's order unless one
    /// of them answers much faster; then the backed-off ones, the one that failed longest ago
    /// first.
    [[nodiscard]] std::vector<std::size_t> order(TimePoint now) const;

  private:
    struct ServerRecord {
        /// Of the answers' round trips: 7/8 old, 1/8 new (RFC 6298, 2); zero: no answer yet.
        Duration smoothedRoundTrip{};
        int consecutiveFailures = 0;
        TimePoint backedOffUntil{};
        TimePoint failedAt{};
    };
    using Order = std::vector<std::size_t>;
    void promoteMuchFaster(Order &servers, std::size_t available) const;

    std::vector<ServerRecord> records;
};

/// How to send one message of a query.
struct QueryAttempt {
    /// Index in the settings.
    std::size_t server = 0;
    bool tcp = false;
    bool edns = true;
    /// Without a reply within this time, the attempt has failed.
    Duration timeout{};
};

/// Whether the reply counts as a failure of its server, as a missing reply does: the server
/// understood the question but can't or won't answer it.
[[nodiscard]] bool isServerFailure(const Message &reply);

/// The attempts of one question, until it is answered or the limit of messages is reached.
class QueryAttempts {
  public:
    /// @param order  the servers, best first
    QueryAttempts(std::vector<std::size_t> order, std::uint32_t seed);
    /// The next attempt to send; empty: all have failed, see fault().
    [[nodiscard]] std::optional<QueryAttempt> next();
    enum class ReplyUse { answer, tryAgain };
    /// Handles a matching reply to the last attempt: whether it is the answer, or another attempt
    /// is needed.
    [[nodiscard]] ReplyUse onReply(const Message &reply);
    /// The last attempt had no reply.
    void onFailure(const std::string &why);
    /// Why the last attempt failed.
    [[nodiscard]] const std::string &fault() const { return lastFault; }

  private:
    std::vector<std::size_t> order;
    std::minstd_rand random;
    std::size_t position = 0;  // in the order
    std::size_t attempts = 0;
    std::size_t round = 0;  // of all servers
    bool overTcp = false;
    bool withEdns = true;
    std::string lastFault = "no name server is configured";
};

/// Limits of the lifetimes derived from TTLs.
struct RefreshRules {
    Duration floor = std::chrono::seconds(5);
    Duration ceiling = std::chrono::hours(1);
    /// Ceiling for negative answers, within the 3 h that RFC 2308 (5) advises.
    Duration negativeCeiling = std::chrono::minutes(5);
};

/// When one name is looked up again. All results but lifetime() are delays from now, drawn at
/// random in each call.
class RefreshSchedule {
  public:
    RefreshSchedule(RefreshRules limits, std::uint32_t seed) : rules(limits), random(seed) {}
    /// The lifetime of a result, within the limits.
    [[nodiscard]] Duration lifetime(const LookupResult &found) const;
    /// Delay of the first lookup; spread so that gateways started together don't query at once.
    /// @param haveList  there is an endpoint list to use until the first answer
    [[nodiscard]] Duration firstDelay(bool haveList);
    /// Delay after an answer: ends before its lifetime does.
    [[nodiscard]] Duration delayAfterAnswer(Duration lifetime);
    /// Delay after a failure; grows with consecutive failures.
    [[nodiscard]] Duration delayAfterFailure();
    /// Delay of a lookup that confirms losses: at least `minDelay` and little longer.
    [[nodiscard]] Duration confirmationDelay(Duration minDelay);

  private:
    double drawBetween(double from, double to);

    RefreshRules rules;
    std::minstd_rand random;
    int consecutiveFailures = 0;
};

/// Limits the questions per second, with bursts of up to one second's worth, so that the name
/// servers are not overloaded when many names are due at once. A token bucket.
class QueryRateLimiter {
  public:
    explicit QueryRateLimiter(double perSecond) : rate(perSecond), tokens(perSecond) {}
    /// Zero: a question may be sent now, and is counted. Otherwise the time to wait before the next
    /// call.
    [[nodiscard]] Duration take(TimePoint now);

  private:
    double rate;
    double tokens;
    TimePoint lastTake{};
};

}  // namespace deckcart::dns
