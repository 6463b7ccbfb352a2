// How one question is put to several name servers, and when a name is asked for again. Pure: the
// time is passed in, chance is a seed. src/dns/resolver.cpp carries it out.
#pragma once

#include <random>

#include "lookup.hpp"

namespace deckcart::dns {

// What is remembered of each name server: which answer, and how fast.
class ServerMemory {
  public:
    explicit ServerMemory(std::size_t servers) : known(servers) {}
    void answered(std::size_t server, Duration took);
    void silent(std::size_t server, Duration now);  // no answer, or none that is of use
    // All of them, best first: those that are not to be left alone, in the order given by the
    // operator as long as they answer about as fast; then the others, the one that failed longest
    // ago first.
    std::vector<std::size_t> order(Duration now) const;
    struct Known {
        Duration
            smoothed{};    // of the answers' times, RFC 6298 (2): 7/8 old, 1/8 new; zero: none yet
        int failures = 0;  // in a row
        Duration aloneUntil{}, failedAt{};
    };
    const Known &of(std::size_t server) const { return known.at(server); }

  private:
    std::vector<Known> known;
};

struct Attempt {
    std::size_t server = 0;
    bool tcp = false, edns = true;
    Duration within{};  // no answer by then: the next one
};

// Whether such a reply is held against its server, as silence is: it knows the question and won't
// answer.
bool ofNoUse(const Message &reply);

// One question until it is answered or given up. At most kMostAttempts messages are sent for it.
class Asking {
  public:
    Asking(std::vector<std::size_t> order, std::uint32_t seed);
    // What to send now; empty: given up, see fault().
    std::optional<Attempt> next();
    enum class Use { answer, again };
    // What a matching reply to the attempt in hand is good for.
    Use replied(const Message &reply);
    void noReply(const std::string &why);
    const std::string &fault() const { return lastFault; }

  private:
    std::vector<std::size_t> order;
    std::minstd_rand chance;
    std::size_t at = 0, attempts = 0, lap = 0;
    bool overTcp = false, withEdns = true;
    std::string lastFault = "no name server is given";
};

struct RefreshRules {
    Duration floor = std::chrono::seconds(5), ceiling = std::chrono::hours(1);  // of lifetimes
    Duration negativeCeiling =
        std::chrono::minutes(5);  // of negative answers, as RFC 2308 (5) advises: below 3 h
};

// When one name is asked for again.
class Refresh {
  public:
    Refresh(RefreshRules with, std::uint32_t seed) : rules(with), chance(seed) {}
    Duration lifetime(const Found &found) const;  // clamped
    // Spans from now.
    Duration
    first(bool haveView);  // of a start, so that gateways started together don't ask in step
    Duration afterAnswer(Duration lifetime);  // ahead of the end, at a moment drawn anew each time
    Duration afterFailure();                  // doubling from one to the next, drawn anew each time
    Duration sooner(Duration wanted);         // when a reading is to be confirmed

  private:
    double part(double from, double to);
    RefreshRules rules;
    std::minstd_rand chance;
    int failures = 0;
};

// At most so many questions a second, a burst of one second's worth: for the name servers' sake
// when many names are due at once.
class QuestionCap {
  public:
    explicit QuestionCap(double aSecond) : rate(aSecond), left(aSecond) {}
    // Zero: it may go now and is counted; else how long to wait before asking here again.
    Duration take(Duration now);

  private:
    double rate, left;
    Duration last{};
};

}  // namespace deckcart::dns
