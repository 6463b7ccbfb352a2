// The data path: turns what crosses its sockets into the events of deckcart/policy.hpp and carries
// out the actions. It picks no endpoint, limit or time-out of its own. One thread, one io_context,
// one gateway.
#pragma once

#include <asio.hpp>
#include <deckcart/policy.hpp>
#include <deque>
#include <random>
#include <unordered_map>

#include "../base/clock.hpp"
#include "../base/log.hpp"
#include "../control_plane/http_client.hpp"
#include "../settings/gateway_settings.hpp"
#include "endpoint_watcher.hpp"
#include "transport.hpp"

namespace deckcart {

// Faults of the shell that a rehearsal asks for, to show that its auditor finds them. Never set in
// service.
struct ShellFaults {
    bool sendsAfterDrain = false;      // first attempts go to what was listed as draining last
    bool answersTwice = false;         // writes a second answer behind each first one
    bool repeatsNonRetriable = false;  // sends a try of a non-retriable request again by itself
};

struct GatewayCounts {
    std::uint64_t taken = 0, completed = 0, shed = 0, errored = 0, gone = 0;
    std::uint64_t attempts = 0, overdue = 0, standstills = 0, turnedAway = 0, unrouted = 0;
    std::uint64_t decisions = 0;
    Duration deciding{}, longestDeciding{};  // spent in the module: in all, on one event at most
};

class Gateway;
// What every gateway reports of itself, whatever its ways.
nlohmann::json countsOf(const Gateway &gateway);

class Gateway {
  public:
    Gateway(asio::io_context &context, const Clock &clock, GatewaySettings settings,
            std::uint64_t seed, Log log, const asio::ip::tcp::endpoint &listen,
            ShellFaults faults = {});  // HTTP on both sides
    Gateway(asio::io_context &context, const Clock &clock, GatewaySettings settings,
            std::uint64_t seed, Log log, const Transport &transport, ShellFaults faults = {});
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    // The list of before, told to the module as its last known one. Call it before the first
    // request.
    void remember(const std::vector<ListedEndpoint> &saved);
    void remember(const EndpointListUpdate &known) { happened(known); }
    void tell(const RolloutUpdate &news) { happened(news); }  // as last known
    // The same where the list has sources of its own; read with readSaved() on this gateway's
    // clock.
    void remember(const std::vector<membership::SavedSource> &saved);
    // Takes new settings while requests go on. A new start of the module (newModule) takes the
    // requests that come from now on; those in hand end under the old one. Only where one build is
    // listed: see mayRestartModule().
    void apply(GatewaySettings settings, bool newModule, bool sourcesMoved = false);
    bool mayRestartModule() const;
    // Refuses new requests, finishes those in hand, then calls back.
    void drain(std::function<void()> done);
    void
    endInHand();  // answers whatever is still in hand, as errored; sheds what comes from now on
    bool reportIncorrectResponse(const std::string &requestId);  // a client's report on an answer
                                                                 // it got here; false: not known

    asio::ip::tcp::endpoint address() const { return downstream->address(); }
    const GatewayCounts &counts() const { return counted; }
    std::size_t inHand() const { return requests.size(); }
    std::size_t connections() const { return downstream->connections(); }
    const GatewaySettings &settings() const { return given; }
    std::vector<ListedEndpoint> listed() const;
    std::optional<RolloutStage> stage() const { return told; }
    std::function<void()> onListed;  // the list, or what a source says, has changed
    EndpointWatcher *members() {
        return feed.get();
    }  // none: the control plane's list is taken as it is

  private:
    struct Attempt;
    struct Request;
    class AttemptObserver;

    // ---- time: a stopped clock is found here ----
    Duration turn();
    void endOverdue(const std::function<bool(const Request &)> &which);
    void thawSoon(int rounds);
    void thaw();
    void later(std::function<void()> what);  // now, or once what came during a standstill is told

    void arrived(std::shared_ptr<DownstreamRequest> taken);
    void take(std::shared_ptr<DownstreamRequest> taken, Duration came);
    void clientGone(RequestId id);
    void watchDeadline(Request &request);
    void wakeIn(Request &request, Duration after);
    void deadline(RequestId id);
    void checkDrained();
    std::optional<Duration> preSendCheck(RequestId id);
    void happened(Event event, GatewayId record);
    void happened(Event event);  // to every record
    void endUnsent(const std::function<bool(const Attempt &)> &stays);
    void decide();
    void carryOut(GatewayId record, const Action &action);
    void send(GatewayId record, const SendAttempt &what);
    bool stillOut(RequestId id, std::size_t attemptNumber);
    void attemptEnded(RequestId id, int attemptNumber, Outcome outcome);
    void pass(Request &request, int attemptNumber, std::string_view part);
    void complete(Request &request, int attemptNumber);
    void finish(Request &request, const char *end, bool late, Duration retryAfter);
    void forget(Request &request);
    void probe(GatewayId record, const ProbeEndpoint &what);
    void sweep();
    void note(const EndpointListUpdate &list);
    void startModule();
    void startFeed(const std::vector<membership::SavedSource> &saved);
    void logRequest(const Request &request, const char *end);

    asio::io_context &context;
    const Clock &clock;
    GatewaySettings given;
    std::uint64_t seed;
    Log log;
    ShellFaults faults;
    std::mt19937_64 chance;

    Policy policy;
    GatewayId current = 0;                     // the record that takes new requests
    std::map<GatewayId, std::size_t> records;  // requests in hand of each
    std::deque<std::pair<GatewayId, Event>> queue;
    std::vector<Event> one;  // the event in hand
    bool deciding = false;

    std::unordered_map<RequestId, std::unique_ptr<Request>> requests;
    RequestId nextRequestId = 0;
    std::size_t unanswered = 0;  // of requests in hand

    Duration lastSeen{}, frozenAt{};
    bool frozen = false;
    std::uint64_t socketEvents = 0;
    std::vector<std::function<void()>> waiting;  // for the thaw

    std::map<EndpointId, EndpointEntry> list;  // as last told, for who asks and for the snapshot
    std::optional<RolloutStage> told;
    std::unique_ptr<UpstreamPool> upstreams;
    std::unique_ptr<ControlPlaneClient> controlPlane;
    std::unique_ptr<EndpointWatcher> feed;

    struct Passed {
        EndpointId endpoint;
        Duration sent{};
        bool reported = false;
    };
    std::unordered_map<std::string, Passed> passed;  // answers that a client may still report
    std::deque<std::string> passedOrder;

    asio::steady_timer sweeper;
    GatewayCounts counted;
    std::function<void()> drained;
    bool frontEnded = false,
         ended = false;         // no request can come; what still comes is shed at once
    EndpointId drainingServer;  // for the fault that sends after a drain
    struct Nobody : CallObserver {
        void onResponse(std::string_view) override {}
        void onCallEnd(Outcome) override {}
    } nobody;
    std::vector<std::shared_ptr<UpstreamCall>> repeats;  // of the fault that repeats
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::unique_ptr<Downstream> downstream;  // last: it calls into all of the above
};

}  // namespace deckcart
