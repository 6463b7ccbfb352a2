// The data path: turns what crosses its sockets into the events of deckcart/policy.hpp and carries
// out the actions. It picks no endpoint, limit or time-out of its own. One thread, one io_context,
// one gateway.
#pragma once

#include <asio.hpp>
#include <deckcart/policy.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "../base/callback_guard.hpp"
#include "../base/clock.hpp"
#include "../base/log.hpp"
#include "../control_plane/documents.hpp"
#include "../settings/gateway_settings.hpp"
#include "attempt_dispatcher.hpp"
#include "endpoint_snapshot.hpp"
#include "endpoint_watcher.hpp"
#include "gateway_counts.hpp"
#include "loop_clock.hpp"
#include "policy_driver.hpp"
#include "request_handler.hpp"
#include "request_log.hpp"
#include "request_table.hpp"
#include "response_history.hpp"
#include "transport.hpp"

namespace deckcart {

class Gateway;
/// What every gateway reports of itself, whatever its transport: the counters as they stand in the
/// HTTP API and in the logs.
nlohmann::json countersJson(const Gateway &gateway);

/// Wires the parts of the data path and owns them. All calls are made on the thread of the
/// io_context, and callbacks come there.
class Gateway {
  public:
    /// HTTP on both sides. Throws std::system_error where it can't listen. The context and the
    /// clock must outlive the gateway.
    Gateway(asio::io_context &context, const Clock &clock, GatewaySettings settings,
            std::uint64_t seed, Log log, const asio::ip::tcp::endpoint &listen,
            DataPathFaults faults = {});
    /// The same over another transport, which is used during construction only.
    Gateway(asio::io_context &context, const Clock &clock, GatewaySettings settings,
            std::uint64_t seed, Log log, const Transport &transport, DataPathFaults faults = {});
    /// Ends all calls and connections without an answer.
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Gives the policy the endpoint list of an earlier process as the last known one. To be called
    /// before the first request.
    void remember(const std::vector<ListedEndpoint> &saved);
    void remember(const EndpointListUpdate &known) { onEvent(known); }
    /// The same where the list has sources of its own: read with readSavedSources() on this
    /// gateway's clock.
    void remember(const std::vector<membership::SavedSource> &saved);
    /// Gives the policy the rollout's stage as last known.
    void tell(const RolloutUpdate &update) { onEvent(update); }

    /// Takes new settings while requests go on. `newModule`: the policy starts anew and takes the
    /// requests that arrive from now on; those in flight end under the old start. Only where
    /// mayRestartPolicy(). `sourcesMoved`: the sources of the list have changed.
    void apply(GatewaySettings settings, bool newModule, bool sourcesMoved = false);
    /// Whether the policy may start anew now: only where one build is listed.
    bool mayRestartPolicy() const;

    /// Accepts no new requests, finishes those in flight, then calls back.
    void drain(std::function<void()> done);
    /// Answers whatever is still in flight, as errored; rejects what comes from now on.
    void failRequestsInFlight();
    /// A client's report that a response it got here is incorrect. False where that response is not
    /// known (any more).
    bool reportIncorrectResponse(const std::string &requestId);

    asio::ip::tcp::endpoint address() const { return downstream->address(); }
    const GatewayCounts &counts() const { return gatewayCounts; }
    /// Requests in flight.
    std::size_t inHand() const { return requests.size(); }
    /// Open connections of clients.
    std::size_t connections() const { return downstream->connections(); }
    const GatewaySettings &settings() const { return activeSettings; }
    /// The endpoint list as last known.
    std::vector<ListedEndpoint> listed() const;
    /// Empty until the control plane has said one.
    std::optional<RolloutStage> stage() const { return rollout.stage(); }
    /// Called when the list, or what a source says, has changed.
    std::function<void()> onEndpointsChanged;
    /// Null where the control plane's list is taken as it is.
    EndpointWatcher *members() { return watcher.get(); }

  private:
    void onStall(const LoopClock::Stall &stall);
    void onControlPlaneEvent(const Event &event);
    void onEvent(const Event &event);
    void onAction(GatewayId record, const Action &action);
    void setTimer(GatewayId record, const SetTimer &action);
    void probe(GatewayId record, const ProbeEndpoint &action);
    void watchEndpoints(GatewayId record, const WatchEndpoints &action);
    void vote(GatewayId record, const Vote &action);
    void startPolicyAnew();
    void startWatcher(const std::vector<membership::SavedSource> &saved);
    void notifyListed() const;
    void checkDrained();
    void sweep();

    asio::io_context &context;
    GatewaySettings activeSettings;
    Log log;
    std::mt19937_64 random;
    const Clock &realClock;
    GatewayCounts gatewayCounts;
    LoopClock clock;
    PolicyDriver policy;
    RequestLog requestLog;
    RequestTable requests;
    EndpointSnapshot endpoints;
    RolloutState rollout;
    ResponseHistory history;
    std::unique_ptr<UpstreamPool> upstreams;
    std::unique_ptr<ControlPlaneClient> controlPlane;
    std::unique_ptr<EndpointWatcher> watcher;
    AttemptDispatcher attempts;
    RequestHandler handler;
    asio::steady_timer sweeper;
    std::function<void()> onDrained;
    bool downstreamEnded = false;  // no request can come any more
    CallbackGuard guard;
    std::unique_ptr<Downstream> downstream;  // last: it calls into all of the above
};

}  // namespace deckcart
