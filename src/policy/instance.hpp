// The decisions of one gateway: its modules, the checks before each attempt, and the reaction to
// each event. Policy::decide calls it; forwarding.cpp and policy.cpp implement it.
#pragma once

#include <deckcart/policy.hpp>
#include <vector>

#include "admission_controller.hpp"
#include "canary_analyzer.hpp"
#include "endpoint_table.hpp"
#include "exposure_limiter.hpp"
#include "fleet_observer.hpp"
#include "load_balancer.hpp"
#include "random_source.hpp"
#include "request_table.hpp"
#include "retry_policy.hpp"
#include "rollout_tracker.hpp"
#include "route_latencies.hpp"
#include "session_affinity.hpp"
#include "slow_start.hpp"
#include "traffic_splitter.hpp"
#include "vote_schedule.hpp"

namespace deckcart {

/// The state of one gateway.
struct Policy::Instance {
    Instance(const PolicySettings &policySettings, TimePoint startedAt);
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    /// Handles one event at the given time.
    void handle(const Event &event, TimePoint time);
    /// Ends a batch of events: compares the builds, votes, and returns the actions.
    [[nodiscard]] std::vector<Action> finishBatch();

  private:
    using Endpoint = policy::Endpoint;
    using Attempt = policy::Attempt;
    using Request = policy::Request;
    using RequestPosition = policy::RequestTable::iterator;

    // ---- events (policy.cpp) ----
    void on(const PolicyStarted &) {}
    void on(const PolicyStopped &) {}
    void on(const EndpointListUpdate &list);
    void on(const EndpointListFailed &failed);
    void on(const RequestArrived &arrival);
    void on(const AttemptEnded &end);
    void on(const RequestAbandoned &abandoned);
    void on(const TimerFired &fired);
    void on(const ProbeEnded &probe);
    void on(const RolloutUpdate &update);
    void on(const UsageReport &report);
    void on(const IncorrectResponseReported &report);

    void watchEndpoints();
    void countFleet();
    void recordOutcome(const Request &request, const Attempt &attempt, Outcome outcome);
    void recordHealth(const Request &request, const Attempt &attempt, Outcome outcome);
    void recordSample(const Request &request, const Attempt &attempt, Outcome outcome);
    void retryOrGiveUp(RequestPosition position);
    void hedgeOrCancelSilent(Request &request);
    double firstAttemptShare() const;
    policy::AnalysisContext analysisContext() const;

    // ---- forwarding (forwarding.cpp) ----
    bool mayForward(const Request &request, Endpoint &endpoint);
    std::vector<BuildNumber> buildsFor(const Request &request) const;
    std::vector<Endpoint *> chooseTwo(const Request &request, BuildNumber build, bool lastResort);
    bool queryLoad(Request &request);
    bool dispatch(Request &request);
    bool dispatchAmong(Request &request, const std::vector<Endpoint *> &candidates);
    void send(Request &request, Endpoint &endpoint);
    void dispatchOrWait(RequestPosition position);
    void waitOrGiveUp(RequestPosition position);
    bool shouldShed(const Request &request);
    void giveUp(Request &request);
    void finish(Request &request, bool inTime);
    void cancelAttempts(const Request &request);
    void dropIfDone(RequestPosition position);

    const Route &route(const Request &request) const {
        return settings.routes.at(std::size_t(request.arrival.route));
    }
    // In seconds.
    double usualLatency(const Request &request) const {
        return latencies.usual(request.arrival.route);
    }
    void setTimer() { actions.emplace_back(SetTimer{policy::kHousekeepingInterval}); }
    void log(const std::string &message) { actions.emplace_back(LogLine{message}); }

    PolicySettings settings;  // referenced by the modules below
    TimePoint now;
    policy::RandomSource random;
    std::vector<Action> actions;

    policy::EndpointTable endpoints;
    policy::RequestTable requests;
    policy::RouteLatencies latencies;
    policy::SlowStart slowStart;
    policy::FleetObserver fleet;
    policy::LoadBalancer balancer;
    policy::ExposureLimiter exposure;
    policy::SessionAffinity affinity;
    policy::RetryPolicy retries;
    policy::AdmissionController admission;
    policy::RolloutTracker rollout;
    policy::CanaryAnalyzer analyzer;
    policy::VoteSchedule votes;
    bool watching = false;  // the subscription to the endpoint list works
    TimePoint nextWatchAt{};
};

}  // namespace deckcart
