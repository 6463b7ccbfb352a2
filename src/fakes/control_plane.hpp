// A fake control plane with the fleet that it manages: starts and drains endpoints, moves a rollout
// through its stages by votes, and notifies gateways by list and watch, with the delays of the
// scenario.
#pragma once

#include "../base/address.hpp"
#include "../control_plane/documents.hpp"
#include "endpoint.hpp"
#include "fleet_names.hpp"

namespace deckcart::fakes {

/// Serves all gateways of a scenario run on a free loopback port.
class FakeControlPlane {
  public:
    FakeControlPlane(asio::io_context &context, FakeEnvironment &environment, std::uint64_t seed);

    std::string address() const { return format(listener.address()); }
    /// Starts the first endpoints, fully warm. Call it before gateways list the endpoints.
    void start();
    /// Sets time 0 of the scenario.
    void scenarioStarts(Duration at) { startedAt = at; }
    /// Moves the rollout and the fleet; to be called every few milliseconds.
    void tick();
    /// Running endpoints that are not draining; `target`: any, trial (canary) or earlier
    /// (baseline).
    std::vector<FakeEndpoint *> runningEndpoints(const std::string &target) const;
    /// An operator drains the endpoint.
    void drainEndpoint(FakeEndpoint &endpoint);
    void crash(FakeEndpoint &endpoint);

    FleetNames *nameServers =
        nullptr;  ///< set: publishes the fleet as records, and the list is empty
    /// Votes get no response; they count nevertheless; list and watch requests fail.
    bool votesUnanswered = false, countsUnansweredVotes = false, listFails = false;
    Duration listDelay{};  ///< additional delay of endpoint list changes
    /// For the report: each stage and when it was entered.
    struct StageChange {
        Duration at{};
        RolloutStage stage;
    };
    std::vector<StageChange> stageChanges;
    std::map<Verdict, int> voteCounts;  ///< accepted votes
    const RolloutStage &stage() const { return current; }

  private:
    struct ManagedEndpoint {
        std::unique_ptr<FakeEndpoint> endpoint;
        EndpointState state = EndpointState::active;
        Duration endsAt{};
        bool running = false;  // it has finished its start
        Duration runsAt{};
    };
    struct Vote {
        int step = 0;
        Verdict verdict = Verdict::none;
        Duration until{};
    };
    struct Watcher {
        std::shared_ptr<http::Exchange> exchange;
        int gateway = 0;
        std::size_t next = 0;
    };

    void serve(const std::shared_ptr<http::Exchange> &exchange);
    void list(http::Exchange &exchange, int gateway);
    void watch(const std::shared_ptr<http::Exchange> &exchange, int gateway, std::size_t from);
    void vote(const std::shared_ptr<http::Exchange> &exchange);
    void publish(nlohmann::json event, Duration after);
    void sendEvents(Watcher &watcher);
    void updateNameServers();
    void recordNotifications(int gateway, const nlohmann::json &event);
    void publishEndpoint(const ManagedEndpoint &entry);
    RolloutStage stageWithAge() const;
    void enterStage(int step, RolloutPhase phase);
    void startEndpoints(BuildNumber build, int wanted, bool warm);
    void drain(ManagedEndpoint &entry);
    int countRunning(BuildNumber build) const;  // running and not draining
    int countVotes(BuildNumber build, Verdict verdict) const;
    Duration notificationDelay();
    int canariesAtStage(int step) const;
    void publishUsageReport();

    asio::io_context &context;
    FakeEnvironment &environment;
    std::mt19937_64 rng;
    std::vector<ManagedEndpoint> managed;
    std::map<EndpointId, nlohmann::json> published;
    nlohmann::json publishedStage;
    std::vector<nlohmann::json> events;  // by version - 1
    std::vector<std::shared_ptr<Watcher>> watchers;
    std::map<std::string, Vote> votes;  // by gateway
    std::map<std::string, nlohmann::json>
        voteReplies;  // by idempotency key, so that a retried vote counts once
    RolloutStage current;
    Duration startedAt{}, stageSince{}, publishedSince{}, canariesRunningSince{}, bookmarkAt{},
        listDue{}, stageDue{}, usageReportAt{}, baselineDrainAt{};
    int startCount = 0;
    bool started = false;
    http::Listener listener;
};

}  // namespace deckcart::fakes
