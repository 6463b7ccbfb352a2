#include "service.hpp"

#include <malloc.h>

#include <csignal>
#include <thread>

#include "../base/address.hpp"
#include "../base/parse_error.hpp"
#include "../base/snapshot.hpp"
#include "shutdown_sequence.hpp"
#include "transport.hpp"

namespace deckcart::platform {
namespace {

constexpr auto kCountersLogInterval = std::chrono::seconds(5);

constexpr int kExitOk = 0;
constexpr int kExitCannotListen = 1;
constexpr int kExitBadConfiguration = 2;

PlatformConfiguration readConfiguration(const std::string &file) {
    const auto text = readFile(file);
    if (!text)
        throw ParseError({}, "the file cannot be read");
    return parseConfiguration(*text);
}

class Service {
  public:
    Service(std::string file, LogFormat logs, double logSample)
        : configurationFile(std::move(file)), requestLogSample(logSample), log(logs, "gateway"),
          signals(context, SIGTERM, SIGINT, SIGHUP), firstListTimer(context),
          shutdownSequence(context), countersLogTimer(context) {}

    int run() {
        std::signal(SIGPIPE, SIG_IGN);
        try {
            configuration = readConfiguration(configurationFile);
        } catch (const std::exception &error) {
            log.warn("configuration", {{"file", configurationFile}, {"fault", error.what()}});
            return kExitBadConfiguration;
        }
        limits = divideResources(configuration.sockets, configuration.memoryMb,
                                 configuration.settings.maxRequestsInFlight,
                                 configuration.settings.endpointKeepAlive);
        transport = std::make_unique<PlatformTransport>(context, clock, configuration, limits, log);
        if (!createGateway())
            return kExitCannotListen;
        restoreKnownState();
        log.info("listening", {{"listen", format(gateway->address())}});
        callAfter(firstListTimer, startupPlan().firstListTimeout, [this] { startServing(); });
        gateway->onEndpointsChanged = [this] { startServing(); };
        awaitSignal();
        logCountersPeriodically();
        context.run();
        log.info("ended", counters());
        return kExitOk;
    }

  private:
    // Retries while the address is in use: a previous process may not have released it yet.
    // @return false if the gateway cannot listen
    bool createGateway() {
        GatewaySettings settings = toGatewaySettings(configuration, limits);
        settings.requestLogSample = requestLogSample;
        const auto deadline = std::chrono::steady_clock::now() + startupPlan().listenTimeout;
        bool logged = false;
        while (!gateway) {
            try {
                gateway = std::make_unique<Gateway>(context, clock, settings, configuration.seed,
                                                    log, *transport);
            } catch (const std::system_error &error) {
                const bool retry = error.code() == asio::error::address_in_use &&
                                   std::chrono::steady_clock::now() < deadline;
                if (!logged || !retry)
                    log.warn("listen",
                             {{"address", format(configuration.listen)}, {"fault", error.what()}});
                if (!retry)
                    return false;
                logged = true;
                std::this_thread::sleep_for(startupPlan().listenRetryInterval);
            }
        }
        return true;
    }

    void restoreKnownState() {
        gateway->restoreEndpoints(toEndpointListUpdate(configuration.knownEndpoints));
        if (configuration.knownRollout)
            gateway->restoreRollout(*configuration.knownRollout);
    }

    // Called on the first endpoint list and when the wait for it times out. Later calls do nothing.
    void startServing() {
        if (std::exchange(serving, true))
            return;
        firstListTimer.cancel();
        transport->respDownstream->open();
        log.info("ready", {{"name", configuration.name},
                           {"listen", format(gateway->address())},
                           {"known", configuration.knownEndpoints.endpoints.size()},
                           {"clients", limits.clientConnections},
                           {"upstreams", limits.upstreamConnections},
                           {"requests", limits.maxRequestsInFlight},
                           {"cores", configuration.cores}});
    }

    nlohmann::json counters() const {
        nlohmann::json fields = countersJson(*gateway);
        fields["refused"] = gateway->counts().unrouted;
        fields["clients"] = gateway->connections();
        fields["upstreams"] = transport->upstreamPool->connections();
        addMemoryCounters(fields);
        addListenerCounters(fields);
        return fields;
    }

    // What holds memory: tells ids of ended requests, requests in flight and bytes of clients
    // apart.
    void addMemoryCounters(nlohmann::json &fields) const {
        const RequestIdRegistry &ids = transport->respDownstream->knownRequestIds();
        fields["heapBytes"] = mallinfo2().uordblks;
        fields["requestIds"] = ids.size();
        fields["endedRequestIds"] = ids.endedCount();
    }

    // What holds places at the listener, and for how long it could not accept.
    void addListenerCounters(nlohmann::json &fields) const {
        const resp::ListenerStatistics listener = transport->respDownstream->listenerStatistics();
        fields["incompleteCommands"] = listener.incompleteCommands;
        fields["clientBufferBytes"] = listener.bufferedBytes;
        fields["pendingErrors"] = listener.pendingErrors;
        fields["longestErrorWaitMs"] = milliseconds(listener.longestErrorWait);
        fields["commandBytes"] = listener.commandBytes;
        fields["evictions"] = listener.evictions;
        fields["longestAcceptWaitMs"] = milliseconds(listener.longestAcceptWait);
    }

    void logCountersPeriodically() {
        callAfter(countersLogTimer, kCountersLogInterval, [this] {
            log.info("counts", counters());
            logCountersPeriodically();
        });
    }

    void awaitSignal() {
        signals.async_wait([this](asio::error_code error, int number) {
            if (error)
                return;
            if (onSignal(number))
                awaitSignal();
        });
    }

    // @return false if the process is to exit
    bool onSignal(int number) {
        if (number == SIGHUP) {
            reloadConfiguration();
        } else if (!shutdownSequence.started()) {
            shutDown();
        } else if (number == SIGINT) {
            context.stop();
            return false;
        } else {
            log.info("draining-already", {{"inHand", gateway->requestsInFlight()}});
        }
        return true;
    }

    // Applies the addresses of discovery and the control service; everything else is fixed for the
    // life of the process.
    void reloadConfiguration() {
        try {
            const PlatformConfiguration changed = readConfiguration(configurationFile);
            transport->controlPlaneClient->setAddresses({changed.discovery, changed.control});
            log.info("configuration", {{"discovery", format(changed.discovery)},
                                       {"control", format(changed.control)}});
        } catch (const std::exception &error) {
            log.warn("configuration-kept", {{"file", configurationFile}, {"fault", error.what()}});
        }
    }

    void shutDown() {
        log.info("draining", {{"inHand", gateway->requestsInFlight()}});
        shutdownSequence.start(shutdownPlan(configuration.settings.longestTimeout()),
                               {[this] { gateway->drain([this] { context.stop(); }); },
                                [this] { gateway->failRequestsInFlight(); },
                                [this] { context.stop(); }});
    }

    std::string configurationFile;
    double requestLogSample;
    Log log;
    SteadyClock clock;
    asio::io_context context{1};
    asio::signal_set signals;
    asio::steady_timer firstListTimer;
    ShutdownSequence shutdownSequence;
    asio::steady_timer countersLogTimer;
    PlatformConfiguration configuration;
    ResourceLimits limits;
    std::unique_ptr<PlatformTransport> transport;
    std::unique_ptr<Gateway> gateway;
    bool serving = false;
};

}  // namespace

int runGateway(const std::string &configurationFile, LogFormat logs, double requestLogSample) {
    return Service(configurationFile, logs, requestLogSample).run();
}

}  // namespace deckcart::platform
