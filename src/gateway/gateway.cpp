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

bool controlPlaneMoved(const GatewaySettings &before, const GatewaySettings &after) {
    if (before.controlPlane.has_value() != after.controlPlane.has_value())
        return true;
    return after.controlPlane && after.controlPlane->address != before.controlPlane->address;
}

}  // namespace

nlohmann::json countersJson(const Gateway &gateway) {
    const GatewayCounts &counts = gateway.counts();
    return {{"taken", counts.taken},
            {"completed", counts.completed},
            {"shed", counts.shed},
            {"errored", counts.errored},
            {"gone", counts.gone},
            {"inHand", gateway.inHand()},
            {"tries", counts.attempts},
            {"overdue", counts.overdue},
            {"standstills", counts.processStalls},
            {"turnedAway", counts.rejected},
            {"decidingMs", milliseconds(counts.deciding)},
            {"longestDecidingMs", milliseconds(counts.longestDeciding)}};
}

// ---- start and end ----

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
             [this](GatewayId record, const Action &action) { onAction(record, action); }),
      requestLog(log, activeSettings, random),
      requests({context, activeSettings, clock, policy, requestLog, gatewayCounts}, seed,
               [this] { checkDrained(); }),
      upstreams(transport.upstreams(activeSettings)),
      attempts(
          {activeSettings, clock, policy, requests, *upstreams, endpoints, history, gatewayCounts},
          faults),
      handler({activeSettings, clock, policy, requests, attempts, gatewayCounts}),
      sweeper(ioContext), downstream(transport.downstream(
                              activeSettings, {[this](std::shared_ptr<DownstreamRequest> request) {
                                                   handler.onRequest(std::move(request));
                                               },
                                               [this] { ++gatewayCounts.unrouted; }})) {
    controlPlane = transport.controlPlane(
        activeSettings,
        {[this] { return clock.turn(); },
         [this](Event event) {
             clock.countSocketEvent();
             clock.afterStall([this, event = std::move(event)] { onControlPlaneEvent(event); });
         }});
    policy.start(activeSettings.module);
    startWatcher({});
    sweep();
}

Gateway::~Gateway() {
    requests.releaseAll();
}

void Gateway::remember(const std::vector<ListedEndpoint> &saved) {
    EndpointListUpdate known{true, {}};
    for (const ListedEndpoint &endpoint : saved) {
        EndpointEntry entry = entryOf(endpoint, activeSettings);
        if (endpoint.age)
            entry.startedAt = clock.turn() - *endpoint.age;
        known.entries.push_back(std::move(entry));
    }
    onEvent(known);
}

void Gateway::remember(const std::vector<membership::SavedSource> &saved) {
    startWatcher(saved);
}

void Gateway::startWatcher(const std::vector<membership::SavedSource> &saved) {
    const auto before = std::move(watcher);
    if (!activeSettings.sources)
        return;
    watcher = std::make_unique<EndpointWatcher>(
        context, realClock, activeSettings, random(), log, [this] { return clock.turn(); },
        guard.wrap(
            [this](const Event &event) { clock.afterStall([this, event] { onEvent(event); }); }),
        saved, saved.empty() ? before.get() : nullptr);
    watcher->onRead = [this] { notifyListed(); };
}

bool Gateway::mayRestartPolicy() const {
    const auto &stage = rollout.stage();
    return membership::mayStartAnew(endpoints.entries(),
                                    stage ? std::optional(stage->phase) : std::nullopt);
}

void Gateway::apply(GatewaySettings settings, bool newModule, bool sourcesMoved) {
    const bool moved = controlPlaneMoved(activeSettings, settings);
    // A request in flight keeps its route's number: routes only change with the policy, which then
    // starts anew.
    activeSettings = std::move(settings);
    downstream->limit();
    if (newModule)
        startPolicyAnew();
    if (sourcesMoved)
        startWatcher({});
    if (moved || (sourcesMoved && !watcher))
        controlPlane->follow(true);
}

void Gateway::startPolicyAnew() {
    const GatewayId before = policy.currentRecord();
    policy.start(activeSettings.module);
    const GatewayId current = policy.currentRecord();
    policy.notify(EndpointListUpdate{true, endpoints.entries()}, current);
    if (const auto &stage = rollout.stage())
        policy.notify(RolloutUpdate{false, Outcome::ok, stage->build, stage->step, stage->phase,
                                    stage->exposureLimit, stage->age},
                      current);
    policy.stopIfIdle(before);
}

void Gateway::drain(std::function<void()> done) {
    onDrained = std::move(done);
    downstream->drain([this] {
        downstreamEnded = true;
        checkDrained();
    });
}

void Gateway::checkDrained() {
    if (onDrained && downstreamEnded && requests.allAnswered())
        asio::post(context, std::exchange(onDrained, nullptr));
}

void Gateway::failRequestsInFlight() {
    handler.failAll();
}

// ---- events in ----

// What is past its deadline is answered before anything else.
void Gateway::onStall(const LoopClock::Stall &stall) {
    ++gatewayCounts.processStalls;
    log.warn("standstill", {{"ms", milliseconds(stall.length)}});
    handler.failOverdue(stall.foundAt);
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
        notifyListed();
    }
    RolloutState::Change change;
    if (const auto *update = std::get_if<RolloutUpdate>(&event))
        change = rollout.apply(*update);
    if (change.stageMoved) {
        const RolloutStage &stage = *rollout.stage();
        log.info("stage", {{"build", stage.build},
                           {"step", stage.step},
                           {"phase", nameOf(stage.phase)},
                           {"cap", stage.exposureLimit}});
    }
    policy.notifyAll(event);
    if (list)
        attempts.endUnsent([this](const AttemptContext &attempt) {
            return endpoints.isActive(attempt.endpoint, attempt.build);
        });
    if (const auto lowered = change.loweredBuild)
        attempts.endUnsent(
            [lowered](const AttemptContext &attempt) { return attempt.build != *lowered; });
}

void Gateway::notifyListed() const {
    if (onEndpointsChanged)
        onEndpointsChanged();
}

std::vector<ListedEndpoint> Gateway::listed() const {
    std::vector<ListedEndpoint> list;
    for (const EndpointEntry &entry : endpoints.entries())
        list.push_back(listedOf(entry, activeSettings.zones, clock.lastTurn()));
    return list;
}

bool Gateway::reportIncorrectResponse(const std::string &requestId) {
    const ResponseHistory::Report report = history.reportIncorrect(requestId);
    if (report.source)
        clock.afterStall([this, source = *report.source] {
            onEvent(IncorrectResponseReported{source.endpoint, clock.turn() - source.sentAt});
        });
    return report.known;
}

// ---- actions out ----

void Gateway::onAction(GatewayId record, const Action &action) {
    std::visit(Overload{
                   [&](const SendAttempt &decision) { attempts.send(record, decision); },
                   [&](const CancelAttempt &decision) { attempts.cancel(decision); },
                   [&](const ShedRequest &decision) { handler.shed(decision); },
                   [&](const FailRequest &decision) { handler.fail(decision); },
                   [&](const SetTimer &decision) { setTimer(record, decision); },
                   [&](const ProbeEndpoint &decision) { probe(record, decision); },
                   [&](const WatchEndpoints &decision) { watchEndpoints(record, decision); },
                   [&](const Vote &decision) { vote(record, decision); },
                   [&](const LogLine &line) {
                       log.info("module", {{"words", line.message}});
                   },
               },
               action);
}

void Gateway::setTimer(GatewayId record, const SetTimer &action) {
    const auto timer = std::make_shared<asio::steady_timer>(context, action.delay);
    timer->async_wait(guard.wrap([this, record, timer](asio::error_code fault) {
        if (!fault)
            clock.afterStall([this, record] { policy.notify(TimerFired{}, record); });
    }));
}

void Gateway::probe(GatewayId record, const ProbeEndpoint &action) {
    upstreams->probe(action.endpoint, guard.wrap([this, record, endpoint = action.endpoint](
                                                     const std::vector<double> &load) {
        clock.countSocketEvent();
        clock.afterStall([this, record, endpoint, load] {
            policy.notify(ProbeEnded{endpoint, load}, record);
        });
    }));
}

void Gateway::watchEndpoints(GatewayId record, const WatchEndpoints &action) {
    if (record != policy.currentRecord())
        return;
    controlPlane->follow(action.active);
    if (watcher && action.active)
        watcher->reportAgain();
}

void Gateway::vote(GatewayId record, const Vote &action) {
    if (record != policy.currentRecord())
        return;  // one vote a gateway
    log.info("vote",
             {{"build", action.build}, {"step", action.step}, {"verdict", nameOf(action.verdict)}});
    controlPlane->vote(action, activeSettings.module.voteTimeout);
}

// ---- upkeep ----

void Gateway::sweep() {
    const TimePoint now = clock.turn();
    if (!clock.isStalled()) {
        upstreams->sweep(now);
        attempts.endStalledStreams(now);
    }
    sweeper.expires_after(upstreams->sweepEvery());
    sweeper.async_wait(guard.wrap([this](asio::error_code fault) {
        if (!fault)
            sweep();
    }));
}

}  // namespace deckcart
