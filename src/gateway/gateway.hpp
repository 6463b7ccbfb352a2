// The gateway's data path: translates network input into the events of deckcart/policy.hpp and
// carries out the actions that the policy returns. It chooses no endpoint, limit or time-out by
// itself. Each gateway runs on one thread with one io_context.
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
/// The counters that a gateway reports in the HTTP API and in its logs, for every transport.
nlohmann::json countersJson(const Gateway &gateway);

/// Creates, connects and owns the parts of the data path. All calls and callbacks happen on the
/// thread of the io_context.
class Gateway {
  public:
    /// Uses HTTP on both sides. Throws std::system_error if it can't listen. The context and the
    /// clock must outlive the gateway.
    Gateway(asio::io_context &context, const Clock &clock, GatewaySettings settings,
            std::uint64_t seed, Log log, const asio::ip::tcp::endpoint &listen,
            DataPathFaults faults = {});
    /// Uses another transport. `transport` is needed during construction only.
    Gateway(asio::io_context &context, const Clock &clock, GatewaySettings settings,
            std::uint64_t seed, Log log, const Transport &transport, DataPathFaults faults = {});
    /// Closes all calls and connections without responding to the clients.
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Gives the policy the endpoint list saved by an earlier process, as the last known list.
    /// Must be called before the first request.
    void restoreEndpoints(const std::vector<ListedEndpoint> &saved);
    void restoreEndpoints(const EndpointListUpdate &known) { onEvent(known); }
    /// Restores the saved state of the endpoint sources, for gateways whose settings name sources.
    /// Its times must be on this gateway's clock; see readSavedSources().
    void restoreSources(const std::vector<membership::SavedSource> &saved);
    /// Gives the policy the last known stage of the rollout.
    void restoreRollout(const RolloutUpdate &update) { onEvent(update); }

    /// Replaces the settings while requests are in flight.
    /// @param policyChanged  starts a new generation of the policy, which takes the requests that
    ///                       arrive from now on; those in flight finish with the previous one.
    ///                       Requires mayRestartPolicy().
    /// @param sourcesChanged  the settings of the endpoint sources have changed
    void applySettings(GatewaySettings settings, bool policyChanged, bool sourcesChanged = false);
    /// Whether the policy may be restarted now: all listed endpoints must run the same build.
    bool mayRestartPolicy() const;

    /// Stops accepting requests, finishes those in flight, then calls `done`.
    void drain(std::function<void()> done);
    /// Fails all requests in flight and rejects all later ones.
    void failRequestsInFlight();
    /// Handles a client's report that a response of this gateway was incorrect. Returns false if
    /// the response is unknown or has been dropped from the history.
    bool reportIncorrectResponse(const std::string &requestId);

    asio::ip::tcp::endpoint address() const { return downstream->address(); }
    const GatewayCounts &counts() const { return gatewayCounts; }
    /// Number of requests in flight.
    std::size_t requestsInFlight() const { return requests.size(); }
    /// Number of open client connections.
    std::size_t connections() const { return downstream->connections(); }
    const GatewaySettings &settings() const { return activeSettings; }
    /// The last known endpoint list.
    std::vector<ListedEndpoint> endpointList() const;
    /// Empty until the control plane has reported a stage.
    std::optional<RolloutStage> stage() const { return rollout.stage(); }
    /// Called when the endpoint list, or the data of one of its sources, has changed.
    std::function<void()> onEndpointsChanged;
    /// Null if the settings name no sources, so that the control plane's list is used directly.
    EndpointWatcher *endpointWatcher() { return watcher.get(); }

  private:
    void onStall(const LoopClock::Stall &stall);
    void onControlPlaneEvent(const Event &event);
    void onEvent(const Event &event);
    void onAction(GatewayId generation, const Action &action);
    void setTimer(GatewayId generation, const SetTimer &action);
    void probe(GatewayId generation, const ProbeEndpoint &action);
    void watchEndpoints(GatewayId generation, const WatchEndpoints &action);
    void vote(GatewayId generation, const Vote &action);
    void restartPolicy();
    void startWatcher(const std::vector<membership::SavedSource> &saved);
    void notifyEndpointsChanged() const;
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
    AttemptDispatcher dispatcher;
    RequestHandler requestHandler;
    asio::steady_timer sweepTimer;
    std::function<void()> onDrained;
    bool downstreamDrained = false;  // no further request can arrive
    CallbackGuard guard;
    std::unique_ptr<Downstream> downstream;  // last, since it calls into all members above
};

}  // namespace deckcart
