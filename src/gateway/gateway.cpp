#include "gateway.hpp"

#include <utility>
#include <variant>

#include "../membership/restart.hpp"
#include "http_transport.hpp"

namespace deckcart {
namespace {

template <class... Handlers>
struct Overload : Handlers... {
    using Handlers::operator()...;
};
template <class... Handlers>
Overload(Handlers...) -> Overload<Handlers...>;

bool controlPlaneChanged(const GatewaySettings &before, const GatewaySettings &after) {
    if (before.controlPlane.has_value() != after.controlPlane.has_value())
        return true;
    return after.controlPlane && after.controlPlane->address != before.controlPlane->address;
}

}  // namespace

nlohmann::json countersJson(const Gateway &gateway) {
    const GatewayCounts &counts = gateway.counts();
    return {{"taken", counts.accepted},
            {"completed", counts.completed},
            {"shed", counts.shed},
            {"errored", counts.failed},
            {"gone", counts.abandoned},
            {"inHand", gateway.requestsInFlight()},
            {"tries", counts.attempts},
            {"overdue", counts.failedByDataPath},
            {"standstills", counts.processStalls},
            {"turnedAway", counts.rejected},
            {"decidingMs", milliseconds(counts.deciding)},
            {"longestDecidingMs", milliseconds(counts.longestDeciding)}};
}

// ---- lifecycle ----

Gateway::Gateway(asio::io_context &ioContext, const Clock &steadyClock, GatewaySettings settings,
                 std::uint64_t seed, Log target, const asio::ip::tcp::endpoint &listen,
                 DataPathFaults faults)
    : Gateway(ioContext, steadyClock, std::move(settings), seed, std::move(target),
              HttpTransport(ioContext, listen), faults) {}

Gateway::Gateway(asio::io_context &ioContext, const Clock &steadyClock, GatewaySettings settings,
                 std::uint64_t seed, Log target, const Transport &transport, DataPathFaults faults)
    : context(ioContext), activeSettings(std::move(settings)), log(std::move(target)), random(seed),
      realClock(steadyClock), clock(ioContext, steadyClock, activeSettings,
                                    [this](const LoopClock::Stall &stall) { onStall(stall); }),
      policy(seed, clock, gatewayCounts,
             [this](GatewayId generation, const Action &action) { onAction(generation, action); }),
      requestLog(log, activeSettings, random),
      requests({context, activeSettings, clock, policy, requestLog, gatewayCounts}, seed,
               [this] { checkDrained(); }),
      upstreams(transport.upstreams(activeSettings)),
      dispatcher(
          {activeSettings, clock, policy, requests, *upstreams, endpoints, history, gatewayCounts},
          faults),
      requestHandler({activeSettings, clock, policy, requests, dispatcher, gatewayCounts}),
      sweepTimer(ioContext),
      downstream(
          transport.downstream(activeSettings, {[this](std::shared_ptr<DownstreamRequest> request) {
                                                    requestHandler.onRequest(std::move(request));
                                                },
                                                [this] { ++gatewayCounts.unrouted; }})) {
    controlPlane = transport.controlPlane(
        activeSettings,
        {[this] { return clock.tick(); },
         [this](Event event) {
             clock.countSocketEvent();
             clock.runAfterStall([this, event = std::move(event)] { onControlPlaneEvent(event); });
         }});
    policy.start(activeSettings.policy);
    startWatcher({});
    sweep();
}

Gateway::~Gateway() {
    requests.releaseAll();
}

void Gateway::restoreEndpoints(const std::vector<ListedEndpoint> &saved) {
    EndpointListUpdate update{true, {}};
    for (const ListedEndpoint &endpoint : saved) {
        EndpointEntry entry = toEndpointEntry(endpoint, activeSettings);
        if (endpoint.age)
            entry.startedAt = clock.tick() - *endpoint.age;
        update.entries.push_back(std::move(entry));
    }
    onEvent(update);
}

void Gateway::restoreSources(const std::vector<membership::SavedSource> &saved) {
    startWatcher(saved);
}

void Gateway::startWatcher(const std::vector<membership::SavedSource> &saved) {
    const auto previous = std::move(watcher);
    if (!activeSettings.sources)
        return;
    watcher = std::make_unique<EndpointWatcher>(
        context, realClock, activeSettings, random(), log, [this] { return clock.tick(); },
        guard.wrap(
            [this](const Event &event) { clock.runAfterStall([this, event] { onEvent(event); }); }),
        saved, saved.empty() ? previous.get() : nullptr);
    watcher->onSourceRead = [this] { notifyEndpointsChanged(); };
}

bool Gateway::mayRestartPolicy() const {
    const auto &stage = rollout.stage();
    return membership::mayRestartPolicy(endpoints.entries(),
                                        stage ? std::optional(stage->phase) : std::nullopt);
}

void Gateway::applySettings(GatewaySettings settings, bool policyChanged, bool sourcesChanged) {
    const bool controlPlaneMoved = controlPlaneChanged(activeSettings, settings);
    // Requests in flight refer to their route by index: routes change only together with a restart
    // of the policy.
    activeSettings = std::move(settings);
    downstream->applyLimits();
    if (policyChanged)
        restartPolicy();
    if (sourcesChanged)
        startWatcher({});
    if (controlPlaneMoved || (sourcesChanged && !watcher))
        controlPlane->setSubscribed(true);
}

void Gateway::restartPolicy() {
    const GatewayId previous = policy.currentGeneration();
    policy.start(activeSettings.policy);
    const GatewayId current = policy.currentGeneration();
    policy.notify(EndpointListUpdate{true, endpoints.entries()}, current);
    if (const auto &stage = rollout.stage())
        policy.notify(RolloutUpdate{false, Outcome::ok, stage->build, stage->step, stage->phase,
                                    stage->exposureLimit, stage->age},
                      current);
    policy.stopIfIdle(previous);
}

void Gateway::drain(std::function<void()> done) {
    onDrained = std::move(done);
    downstream->drain([this] {
        downstreamDrained = true;
        checkDrained();
    });
}

void Gateway::checkDrained() {
    if (onDrained && downstreamDrained && requests.allAnswered())
        asio::post(context, std::exchange(onDrained, nullptr));
}

void Gateway::failRequestsInFlight() {
    requestHandler.failAll();
}

// ---- incoming events ----

// Requests that are past their deadline are answered before any other input is processed.
void Gateway::onStall(const LoopClock::Stall &stall) {
    ++gatewayCounts.processStalls;
    log.warn("standstill", {{"ms", milliseconds(stall.length)}});
    requestHandler.failOverdue(stall.detectedAt);
}

void Gateway::onControlPlaneEvent(const Event &event) {
    const auto *update = std::get_if<EndpointListUpdate>(&event);
    if (update && watcher)
        return watcher->onControlPlaneUpdate(*update);
    if (std::holds_alternative<EndpointListFailed>(event) && watcher)
        watcher->onControlPlaneFailure();
    onEvent(event);
}

void Gateway::onEvent(const Event &event) {
    const auto *list = std::get_if<EndpointListUpdate>(&event);
    if (list) {
        endpoints.apply(*list, *upstreams);
        notifyEndpointsChanged();
    }
    RolloutState::Change change;
    if (const auto *update = std::get_if<RolloutUpdate>(&event))
        change = rollout.apply(*update);
    if (change.stageChanged) {
        const RolloutStage &stage = *rollout.stage();
        log.info("stage", {{"build", stage.build},
                           {"step", stage.step},
                           {"phase", nameOf(stage.phase)},
                           {"cap", stage.exposureLimit}});
    }
    policy.notifyAll(event);
    if (list)
        dispatcher.endUnsent([this](const AttemptContext &attempt) {
            return endpoints.isActive(attempt.endpoint, attempt.build);
        });
    if (const auto lowered = change.buildWithLoweredLimit)
        dispatcher.endUnsent(
            [lowered](const AttemptContext &attempt) { return attempt.build != *lowered; });
}

void Gateway::notifyEndpointsChanged() const {
    if (onEndpointsChanged)
        onEndpointsChanged();
}

std::vector<ListedEndpoint> Gateway::endpointList() const {
    std::vector<ListedEndpoint> list;
    for (const EndpointEntry &entry : endpoints.entries())
        list.push_back(toListedEndpoint(entry, activeSettings.zones, clock.lastTick()));
    return list;
}

bool Gateway::reportIncorrectResponse(const std::string &requestId) {
    const ResponseHistory::Report report = history.reportIncorrect(requestId);
    if (report.source)
        clock.runAfterStall([this, source = *report.source] {
            onEvent(IncorrectResponseReported{source.endpoint, clock.tick() - source.sentAt});
        });
    return report.known;
}

// ---- actions of the policy ----

void Gateway::onAction(GatewayId generation, const Action &action) {
    std::visit(Overload{
                   [&](const SendAttempt &decision) { dispatcher.send(generation, decision); },
                   [&](const CancelAttempt &decision) { dispatcher.cancel(decision); },
                   [&](const ShedRequest &decision) { requestHandler.shed(decision); },
                   [&](const FailRequest &decision) { requestHandler.fail(decision); },
                   [&](const SetTimer &decision) { setTimer(generation, decision); },
                   [&](const ProbeEndpoint &decision) { probe(generation, decision); },
                   [&](const WatchEndpoints &decision) { watchEndpoints(generation, decision); },
                   [&](const Vote &decision) { vote(generation, decision); },
                   [&](const LogLine &line) {
                       log.info("module", {{"words", line.message}});
                   },
               },
               action);
}

void Gateway::setTimer(GatewayId generation, const SetTimer &action) {
    const auto timer = std::make_shared<asio::steady_timer>(context, action.delay);
    timer->async_wait(guard.wrap([this, generation, timer](asio::error_code error) {
        if (!error)
            clock.runAfterStall([this, generation] { policy.notify(TimerFired{}, generation); });
    }));
}

void Gateway::probe(GatewayId generation, const ProbeEndpoint &action) {
    upstreams->probe(action.endpoint, guard.wrap([this, generation, endpoint = action.endpoint](
                                                     const std::vector<double> &load) {
        clock.countSocketEvent();
        clock.runAfterStall([this, generation, endpoint, load] {
            policy.notify(ProbeEnded{endpoint, load}, generation);
        });
    }));
}

void Gateway::watchEndpoints(GatewayId generation, const WatchEndpoints &action) {
    if (generation != policy.currentGeneration())
        return;
    controlPlane->setSubscribed(action.active);
    if (watcher && action.active)
        watcher->republish();
}

void Gateway::vote(GatewayId generation, const Vote &action) {
    if (generation != policy.currentGeneration())
        return;  // a gateway has one vote, cast by the current generation
    log.info("vote",
             {{"build", action.build}, {"step", action.step}, {"verdict", nameOf(action.verdict)}});
    controlPlane->vote(action, activeSettings.policy.voteTimeout);
}

// ---- maintenance ----

void Gateway::sweep() {
    const TimePoint now = clock.tick();
    if (!clock.isStalled()) {
        upstreams->closeExpired(now);
        dispatcher.endStalledStreams(now);
    }
    sweepTimer.expires_after(upstreams->sweepInterval());
    sweepTimer.async_wait(guard.wrap([this](asio::error_code error) {
        if (!error)
            sweep();
    }));
}

}  // namespace deckcart
