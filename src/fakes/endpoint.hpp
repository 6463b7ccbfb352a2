// A fake endpoint: a number of cores with a queue in front of them. It needs a warm-up, crashes
// when it is overloaded during the warm-up, deduplicates requests by their idempotency keys within
// the deduplication window, and misbehaves as the faults of its build or of the scenario say.
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

/// State that all fakes of a scenario run share: the scenario, slowdown, what was seen.
struct FakeEnvironment {
    FakeEnvironment(const scenarios::Scenario &given, const Clock &runClock,
                    scenarios::Records &recordsOut)
        : scenario(given), clock(runClock), records(recordsOut) {}

    const scenarios::Scenario &scenario;
    const Clock &clock;
    scenarios::Records &records;
    BuildNumber canaryBuild = 2;
    double fleetSlowdown = 1;  ///< factor of the processing time of all endpoints
    std::deque<Duration>
        canaryArrivals;  ///< recent attempts at the canary, for a build that slows all
    std::deque<Duration> allArrivals;  ///< recent attempts at all builds
    /// An attempt that was processed.
    struct FinishedAttempt {
        BuildNumber build = 0;
        int route = 0;
        bool failed = false;
    };
    std::vector<FinishedAttempt> finished;  ///< since the last usage report
    std::map<std::string, Duration>
        keyFirstSeen;                         ///< by idempotency key: start of its first processing
    std::map<std::string, int> effectCounts;  ///< by idempotency key: effective executions
};

/// Listens on a free loopback port until shutDown().
class FakeEndpoint {
  public:
    FakeEndpoint(asio::io_context &context, FakeEnvironment &environment, BuildNumber build,
                 int zone, std::uint64_t seed);

    EndpointId id() const { return endpointId; }
    Duration startedAt() const { return startTime; }
    BuildNumber build() const { return buildNumber; }
    int zone() const { return zoneIndex; }
    bool isDown() const { return !listener; }
    /// Makes it fully warm.
    void makeWarm() { startTime -= std::chrono::hours(1); }
    /// Ends at once and closes its connections.
    void shutDown();
    /// While set, requests are accepted and nothing is processed.
    void setHanging(bool on);
    /// Starts no processing for the given time.
    void pause(Duration length);
    void setSlowConnects(bool on);
    double slowdown = 1;          ///< factor of the processing time, as on a shared machine
    double responseLossRate = 0;  ///< fraction of responses that are lost after processing
    /// Reports a quarter of its load; responds to probes with 500.
    bool underreportsLoad = false, probesFail = false;
    /// Called after it crashed from overload.
    std::function<void(const FakeEndpoint &)> onOverload;

  private:
    struct Job {
        std::shared_ptr<http::Exchange> exchange;
        int route = 0;
        double workMs = 0;
        Duration receivedAt{};
        bool duplicate = false;
    };
    void serve(const std::shared_ptr<http::Exchange> &exchange);
    void probe(http::Exchange &exchange);
    void startJobs();
    void finishJob(const Job &job);
    double warmUpFraction() const;
    bool isOverloadedBy(double workMs);
    bool drawFault(const Job &job, scenarios::BuildFault kind);
    double buildSlowdown();
    void alternateAccepting();

    asio::io_context &context;
    FakeEnvironment &environment;
    BuildNumber buildNumber;
    int zoneIndex;
    std::mt19937_64 rng;
    Duration startTime;
    std::unique_ptr<http::Listener> listener;
    EndpointId endpointId;
    std::deque<Job> queue;
    int busyCores = 0;
    bool hanging = false, acceptsSlowly = false;
    Duration pausedUntil{};
    std::deque<std::pair<Duration, double>> warmUpWork;  // work in ms, during the warm-up
    double meanLatencyMs = 1;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace deckcart::fakes
