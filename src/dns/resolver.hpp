// Asks name servers over UDP and TCP (RFC 1035, 7766) and keeps SRV names up to date. Made by the
// endpoint watcher. Which server, how long and when again is decided by query_schedule.hpp; what
// replies mean by lookup.hpp.
#pragma once

#include <asio.hpp>
#include <deque>
#include <functional>
#include <memory>

#include "../base/callback_guard.hpp"
#include "query_schedule.hpp"

namespace deckcart::dns {

struct ResolverSettings {
    std::vector<asio::ip::udp::endpoint> servers;  // the same address serves TCP
    RefreshRules refresh;
    double questionsASecond = 50;
    /// Questions at once; further ones wait their turn.
    std::size_t inFlight = 16;
};

/// Since the start.
struct ResolverCounts {
    std::uint64_t questions = 0;
    std::uint64_t udp = 0;       // messages sent
    std::uint64_t tcp = 0;       // messages sent
    std::uint64_t answers = 0;   // of questions
    std::uint64_t dropped = 0;   // messages that were not the reply
    std::uint64_t failures = 0;  // of questions
};

/// Runs on the thread of its context, which has to outlive it.
class Resolver {
  public:
    /// A name was looked up. `server` is the place in ResolverSettings::servers of the SRV reply;
    /// meaningless where it failed.
    using OnResult = std::function<void(const std::string &name, const Found &found,
                                        Duration lifetime, std::size_t server)>;
    Resolver(asio::io_context &context, const Clock &clock, ResolverSettings settings,
             std::uint64_t seed, OnResult onResult);
    ~Resolver();
    Resolver(const Resolver &) = delete;
    Resolver &operator=(const Resolver &) = delete;

    /// Looks the name up from now until the end, ahead of the end of each lifetime.
    /// @param haveView  there is something to go by until the first answer
    void follow(const std::string &name, bool haveView);
    /// Looks it up again so much later instead of when it was due, unless that is sooner.
    void refreshWithin(const std::string &name, Duration wanted);
    [[nodiscard]] const ResolverCounts &counts() const { return counted; }

  private:
    struct WatchedName;
    struct Query;
    using QueryPointer = std::shared_ptr<Query>;

    void startLookup(WatchedName &watched);
    void continueLookup(WatchedName &watched);
    void finishLookup(WatchedName &watched);
    void scheduleLookup(WatchedName &watched, Duration delay);
    void enqueue(QueryPointer query);
    void sendWaiting();
    void sendNextAttempt(const QueryPointer &query);
    void sendUdp(const QueryPointer &query);
    void receiveUdp(const QueryPointer &query);
    void sendTcp(const QueryPointer &query);
    void writeTcp(const QueryPointer &query);
    void receiveTcp(const QueryPointer &query);
    void receiveTcpMessage(const QueryPointer &query);
    /// Whether the bytes were the reply; others are dropped.
    bool onMessage(const QueryPointer &query, const std::uint8_t *bytes, std::size_t size);
    void onAttemptFailed(const QueryPointer &query, const std::string &why);
    /// @param reply  null: given up, with the fault
    void finishQuery(const QueryPointer &query, const Message *reply, const std::string &fault);
    /// A callback that is dropped once the attempt, the query or the resolver is over.
    template <class Callback>
    auto forAttempt(const QueryPointer &query, Callback callback) const;

    asio::io_context &context;
    const Clock &clock;
    ResolverSettings settings;
    std::mt19937_64 chance;
    OnResult onResult;
    ServerRanking servers;
    QueryRateLimiter rateLimiter;
    std::map<std::string, std::unique_ptr<WatchedName>> watchedNames;
    std::deque<QueryPointer> waiting;
    std::set<QueryPointer> inFlight;
    asio::steady_timer rateTimer;
    bool rateLimited = false;
    ResolverCounts counted;
    CallbackGuard guard;
};

}  // namespace deckcart::dns
