// Queries name servers over UDP and TCP (RFC 1035, 7766) and keeps the lookups of SRV names up to
// date. Created by the endpoint watcher. query_schedule.hpp chooses servers, timeouts and the time
// of the next lookup; lookup.hpp interprets the replies.
#pragma once

#include <asio.hpp>
#include <deque>
#include <functional>
#include <memory>

#include "../base/callback_guard.hpp"
#include "query_schedule.hpp"

namespace deckcart::dns {

struct ResolverSettings {
    std::vector<asio::ip::udp::endpoint> servers;  // queried over TCP at the same address
    RefreshRules refresh;
    double questionsPerSecond = 50;
    /// Maximum number of questions in flight; further ones are queued.
    std::size_t inFlight = 16;
};

/// Totals since the resolver was created.
struct ResolverCounts {
    std::uint64_t questions = 0;  // without those that joined one already sent or queued
    std::uint64_t udp = 0;        // messages sent
    std::uint64_t tcp = 0;        // messages sent
    std::uint64_t answers = 0;    // questions that were answered
    std::uint64_t dropped = 0;    // received messages that did not match the question
    std::uint64_t failures = 0;   // questions given up
};

/// Runs on the thread of its io_context, which must outlive it.
class Resolver {
  public:
    /// Called when a lookup has ended. `server` is the index in ResolverSettings::servers of the
    /// server that sent the SRV reply; meaningless if the lookup failed.
    using OnResult = std::function<void(const std::string &name, const LookupResult &found,
                                        Duration lifetime, std::size_t server)>;
    Resolver(asio::io_context &context, const Clock &clock, ResolverSettings settings,
             std::uint64_t seed, OnResult onResult);
    ~Resolver();
    Resolver(const Resolver &) = delete;
    Resolver &operator=(const Resolver &) = delete;

    /// Starts to look the name up, after a short random delay, and repeats that before each
    /// lifetime ends, as long as the resolver exists.
    /// @param haveList  there is an endpoint list to use until the first answer
    void watch(const std::string &name, bool haveList);
    /// Looks the name up again after about `minDelay`, unless it is due earlier.
    void refreshAfter(const std::string &name, Duration minDelay);
    [[nodiscard]] const ResolverCounts &counts() const { return counters; }

  private:
    struct WatchedName;
    struct Query;
    using QueryPointer = std::shared_ptr<Query>;

    void startLookup(WatchedName &watched);
    void continueLookup(WatchedName &watched);
    void finishLookup(WatchedName &watched);
    void scheduleLookup(WatchedName &watched, Duration delay);
    void enqueue(QueryPointer query);
    void sendQueued();
    void sendNextAttempt(const QueryPointer &query);
    void sendUdp(const QueryPointer &query);
    void receiveUdp(const QueryPointer &query);
    void sendTcp(const QueryPointer &query);
    void writeTcp(const QueryPointer &query);
    void receiveTcp(const QueryPointer &query);
    void receiveTcpMessage(const QueryPointer &query);
    /// Whether the bytes were the reply to the current attempt; anything else is dropped.
    bool onMessage(const QueryPointer &query, const std::uint8_t *bytes, std::size_t size);
    void onAttemptFailed(const QueryPointer &query, const std::string &why);
    /// @param reply  null: the question was given up because of `fault`
    void finishQuery(const QueryPointer &query, const Message *reply, const std::string &fault);
    /// Wraps a callback so that it does nothing once the attempt, the query or the resolver has
    /// ended.
    template <class Callback>
    auto forAttempt(const QueryPointer &query, Callback callback) const;

    asio::io_context &context;
    const Clock &clock;
    ResolverSettings settings;
    std::mt19937_64 random;
    OnResult onResult;
    ServerRanking servers;
    QueryRateLimiter rateLimiter;
    std::map<std::string, std::unique_ptr<WatchedName>> watchedNames;
    std::deque<QueryPointer> queue;
    std::set<QueryPointer> inFlight;
    asio::steady_timer rateTimer;
    bool rateLimited = false;
    ResolverCounts counters;
    CallbackGuard guard;
};

}  // namespace deckcart::dns
