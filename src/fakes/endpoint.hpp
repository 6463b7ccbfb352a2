// A stand-in for a relay node: cores and a queue in front of them, cold at its start, falls over
// when it is pushed while cold, forgets no mark within the window, and fails as its build or its
// trouble tells it to.
#pragma once

#include <asio.hpp>
#include <deque>
#include <functional>
#include <map>
#include <random>

#include "../http/server.hpp"
#include "../scenarios/invariant_checker.hpp"
#include "../scenarios/scenario.hpp"

namespace deckcart::fakes {

// What all instances of a day share: who is slow, how the build on trial is faulty, what was seen.
struct FakeEnvironment {
    FakeEnvironment(const scenarios::Scenario &of, const Clock &time, scenarios::Records &into)
        : day(of), clock(time), records(into) {}

    const scenarios::Scenario &day;
    const Clock &clock;
    scenarios::Records &records;
    BuildNumber trial = 2;
    double fleetSlow = 1;
    std::deque<Duration> trialWork;  // attempts at the trial build of late, for one that slows all
    std::deque<Duration> allWork;
    struct Done {
        BuildNumber build = 0;
        int route = 0;
        bool lost = false;
    };
    std::vector<Done> finished;             // since the platform counted last
    std::map<std::string, Duration> marks;  // of deduped requests: when each was taken up
    std::map<std::string, int> effects;  // how often each mark of a request with an effect has run
};

class FakeEndpoint {
  public:
    FakeEndpoint(asio::io_context &context, FakeEnvironment &world, BuildNumber build, int zone,
                 std::uint64_t seed);

    EndpointId id() const { return name; }
    Duration startedAt() const { return started; }
    BuildNumber build() const { return runs; }
    int zone() const { return where; }
    bool down() const { return !listener; }
    void startLongAgo() { started -= std::chrono::hours(1); }
    void die();  // at once, with its connections
    void hang(bool on);
    void pause(Duration lasts);
    void slowConnects(bool on);
    double slow = 1;  // a neighbour takes of its machine
    double answersLost = 0;
    bool lowReports = false, probesFail = false;
    std::function<void(const FakeEndpoint &)> onFell;

  private:
    struct Job {
        std::shared_ptr<http::Exchange> exchange;
        int route = 0;
        double workMs = 0;
        Duration came{};
        bool repeat = false;
    };
    void serve(const std::shared_ptr<http::Exchange> &exchange);
    void probe(http::Exchange &exchange);
    void begin();
    void finish(const Job &job);
    double warmth() const;
    bool pushedOver(double workMs);
    bool faulty(const Job &job, scenarios::BuildFault kind);
    double buildTimes();
    void blinkConnects();

    asio::io_context &context;
    FakeEnvironment &world;
    BuildNumber runs;
    int where;
    std::mt19937_64 chance;
    Duration started;
    std::unique_ptr<http::Listener> listener;
    EndpointId name;
    std::deque<Job> waiting;
    int busy = 0;
    bool hung = false, connectsSlow = false;
    Duration pausedUntil{};
    std::deque<std::pair<Duration, double>> sentCold;  // work in ms
    double meanMs = 1;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace deckcart::fakes
