// Asks name servers over UDP and TCP (RFC 1035, 7766) and keeps following SRV names. Which server,
// how long and when again is said by asking.hpp; what replies mean by lookup.hpp.
#pragma once

#include <asio.hpp>
#include <deque>
#include <functional>
#include <memory>

#include "../base/clock.hpp"
#include "query_schedule.hpp"

namespace deckcart::dns {

struct ResolverSettings {
    std::vector<asio::ip::udp::endpoint> servers;  // the same address serves TCP
    RefreshRules refresh;
    double questionsASecond = 50;
    std::size_t inFlight = 16;  // questions at once; further ones wait their turn
};

struct ResolverCounts {
    std::uint64_t questions = 0, udp = 0, tcp = 0, answers = 0, dropped = 0, failures = 0;
};

class Resolver {
  public:
    // A name was looked up. `server` is the place in ResolverSettings::servers of the SRV reply;
    // meaningless where it failed.
    using Tell = std::function<void(const std::string &name, const Found &found, Duration lifetime,
                                    std::size_t server)>;
    Resolver(asio::io_context &context, const Clock &clock, ResolverSettings settings,
             std::uint64_t seed, Tell tell);
    ~Resolver();
    Resolver(const Resolver &) = delete;
    Resolver &operator=(const Resolver &) = delete;

    // Follows the name until the end. `haveView`: there is something to go by until the first
    // answer.
    void follow(const std::string &name, bool haveView);
    // Asks again so much later instead of when it was to be, unless that is sooner.
    void askAgainIn(const std::string &name, Duration wanted);
    const ResolverCounts &counts() const { return counted; }

  private:
    struct Followed;
    struct Query;
    void startLookup(Followed &of);
    void goOn(Followed &of);
    void over(Followed &of);
    void wait(Followed &of, Duration span);
    void put(std::shared_ptr<Query> query);
    void sendWaiting();
    void attempt(const std::shared_ptr<Query> &query);
    void overUdp(const std::shared_ptr<Query> &query);
    void readUdp(const std::shared_ptr<Query> &query);
    void overTcp(const std::shared_ptr<Query> &query);
    void readTcp(const std::shared_ptr<Query> &query);
    // Whether the bytes were the reply; others are dropped.
    bool took(const std::shared_ptr<Query> &query, const std::uint8_t *bytes, std::size_t size);
    void noReply(const std::shared_ptr<Query> &query, const std::string &why);
    void ended(const std::shared_ptr<Query> &query, const Message *reply, const std::string &fault);

    asio::io_context &context;
    const Clock &clock;
    ResolverSettings settings;
    std::mt19937_64 chance;
    Tell tell;
    ServerMemory servers;
    QuestionCap cap;
    std::map<std::string, std::unique_ptr<Followed>> followed;
    std::deque<std::shared_ptr<Query>> waiting;
    std::set<std::shared_ptr<Query>> out;
    asio::steady_timer capTimer;
    bool capWaits = false;
    ResolverCounts counted;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace deckcart::dns
