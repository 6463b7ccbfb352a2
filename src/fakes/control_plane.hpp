// A stand-in for the control plane and the fleet behind it: starts and drains instances, moves a
// release through its stages by votes, and tells gateways by list and watch, late by as much as the
// day says.
#pragma once

#include "../base/address.hpp"
#include "../control_plane/documents.hpp"
#include "endpoint.hpp"
#include "fleet_names.hpp"

namespace deckcart::fakes {

class FakeControlPlane {
  public:
    FakeControlPlane(asio::io_context &context, FakeEnvironment &world, std::uint64_t seed);

    std::string address() const { return format(listener.address()); }
    void start();  // the day's first instances, long since warm; call it before gateways list
    void dayBegins(Duration at) { dayBegan = at; }
    void tick();  // moves the release; called every few milliseconds
    std::vector<FakeEndpoint *>
    instances(const std::string &where) const;  // running: any, trial or earlier
    void staffDrains(FakeEndpoint &which);
    void crash(FakeEndpoint &which);

    FleetNames *names = nullptr;  // set: the fleet is told by records, and the list is empty
    bool still = false, stillCounts = false, listFails = false;
    Duration listLate{};
    // What was seen, for the report.
    struct StageSeen {
        Duration at{};
        RolloutStage stage;
    };
    std::vector<StageSeen> stages;
    std::map<Verdict, int> votesTaken;
    const RolloutStage &stage() const { return now; }

  private:
    struct Member {
        std::unique_ptr<FakeEndpoint> instance;
        EndpointState state = EndpointState::active;
        Duration leavesAt{};
        bool listed = false;  // its process runs
        Duration listedAt{};
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
    void tell(Watcher &watcher);
    void serveNames();
    void noteTold(int gateway, const nlohmann::json &event);
    void changed(const Member &member);
    RolloutStage toldStage() const;
    void enter(int step, RolloutPhase phase);
    void startInstances(BuildNumber build, int wanted, bool warm);
    void drain(Member &member);
    int running(BuildNumber build) const;  // live and listed
    int standing(BuildNumber build, Verdict verdict) const;
    Duration newsDelay();
    int stageCount(int step) const;
    void tally();

    asio::io_context &context;
    FakeEnvironment &world;
    std::mt19937_64 chance;
    std::vector<Member> members;
    std::map<EndpointId, nlohmann::json> published;
    nlohmann::json publishedStage;
    std::vector<nlohmann::json> events;  // by version - 1
    std::vector<std::shared_ptr<Watcher>> watchers;
    std::map<std::string, Vote> votes;               // by gateway
    std::map<std::string, nlohmann::json> answered;  // by the key of a vote: a repeat acts once
    RolloutStage now;
    Duration dayBegan{}, nowSince{}, publishedSince{}, allRunningSince{}, bookmarkAt{}, listDue{},
        stageDue{}, tallyAt{}, oldLeaveAt{};
    int starts = 0;
    bool began = false;
    http::Listener listener;
};

}  // namespace deckcart::fakes
