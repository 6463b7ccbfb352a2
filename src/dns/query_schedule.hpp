// How one question is put to several name servers, and when a name is looked up again. Pure: the
// time is passed in, chance is a seed. Carried out by the resolver.
#pragma once

#include <random>

#include "lookup.hpp"

namespace deckcart::dns {

/// In which order to try the name servers, by how they answered so far. Servers are given by their
/// index in the settings.
class ServerRanking {
  public:
    explicit ServerRanking(std::size_t servers) : records(servers) {}
    void onAnswer(std::size_t server, Duration roundTrip);
    /// No reply, or none that is of use.
    void onFailure(std::size_t server, TimePoint now);
    /// All of them, best first: those that are not backed off, in the order given by the operator
    /// as long as they answer about as fast; then the others, the one that failed longest ago
    /// first.
    [[nodiscard]] std::vector<std::size_t> order(TimePoint now) const;

  private:
    struct ServerRecord {
        /// Of the answers' times, RFC 6298 (2): 7/8 old, 1/8 new; zero: none yet.
        Duration smoothedRoundTrip{};
        int failuresInRow = 0;
        TimePoint backedOffUntil{};
        TimePoint failedAt{};
    };
    using Order = std::vector<std::size_t>;
    void moveMuchFasterFirst(Order &servers, std::size_t available) const;

    std::vector<ServerRecord> records;
};

/// One message of a query.
struct QueryAttempt {
    /// Index in the settings.
    std::size_t server = 0;
    bool tcp = false;
    bool edns = true;
    /// Without a reply by then, the next attempt follows.
    Duration timeout{};
};

/// Whether such a reply counts as a failure of its server, as silence does: it knows the question
/// and won't answer.
[[nodiscard]] bool isServerFailure(const Message &reply);

/// The attempts of one question until it is answered or given up: a bounded number of messages.
class QueryAttempts {
  public:
    /// @param order  the servers, best first
    QueryAttempts(std::vector<std::size_t> order, std::uint32_t seed);
    /// What to send now; empty: given up, see fault().
    [[nodiscard]] std::optional<QueryAttempt> next();
    enum class ReplyUse { answer, tryAgain };
    /// What a matching reply to the last attempt is good for.
    [[nodiscard]] ReplyUse onReply(const Message &reply);
    /// The last attempt had no reply.
    void onFailure(const std::string &why);
    /// Why the last attempt did not succeed.
    [[nodiscard]] const std::string &fault() const { return lastFault; }

  private:
    std::vector<std::size_t> order;
    std::minstd_rand chance;
    std::size_t position = 0;  // in the order
    std::size_t attempts = 0;
    std::size_t lap = 0;
    bool overTcp = false;
    bool withEdns = true;
    std::string lastFault = "no name server is given";
};

/// Bounds of the lifetimes that a lookup found.
struct RefreshRules {
    Duration floor = std::chrono::seconds(5);
    Duration ceiling = std::chrono::hours(1);
    /// Of negative answers, as RFC 2308 (5) advises: below 3 h.
    Duration negativeCeiling = std::chrono::minutes(5);
};

/// When one name is looked up again. All results but lifetime() are times from now, drawn anew for
/// each call.
class Refresh {
  public:
    Refresh(RefreshRules with, std::uint32_t seed) : rules(with), chance(seed) {}
    /// Of a result, within the bounds.
    [[nodiscard]] Duration lifetime(const Found &found) const;
    /// After the start, so that gateways started together don't ask in step.
    /// @param haveView  there is something to go by until the first answer
    [[nodiscard]] Duration first(bool haveView);
    /// Ahead of the lifetime's end.
    [[nodiscard]] Duration afterAnswer(Duration lifetime);
    /// With backoff from one failure to the next.
    [[nodiscard]] Duration afterFailure();
    /// When a reading is to be confirmed: not before `wanted`, by little more.
    [[nodiscard]] Duration sooner(Duration wanted);

  private:
    double drawBetween(double from, double to);

    RefreshRules rules;
    std::minstd_rand chance;
    int failures = 0;  // in a row
};

/// At most so many questions a second, a burst of one second's worth: for the name servers' sake
/// when many names are due at once. A token bucket.
class QueryRateLimiter {
  public:
    explicit QueryRateLimiter(double perSecond) : rate(perSecond), tokens(perSecond) {}
    /// Zero: it may go now and is counted; else how long to wait before the next call.
    [[nodiscard]] Duration take(TimePoint now);

  private:
    double rate;
    double tokens;
    TimePoint lastTake{};
};

}  // namespace deckcart::dns
