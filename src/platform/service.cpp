#include "service.hpp"

#include <csignal>
#include <thread>

#include "../base/address.hpp"
#include "../base/parse_error.hpp"
#include "../base/snapshot.hpp"
#include "shutdown_sequence.hpp"
#include "transport.hpp"

namespace deckcart::platform {
namespace {

constexpr auto kReportInterval = std::chrono::seconds(5);

constexpr int kExitOk = 0;
constexpr int kExitCannotListen = 1;
constexpr int kExitBadConfiguration = 2;

PlatformConfiguration readConfiguration(const std::string &file) {
    const auto text = readWhole(file);
    if (!text)
        throw ParseError({}, "the file can't be read");
    return parseConfiguration(*text);
}

class Service {
  public:
    Service(std::string file, LogForm logs, double sample)
        : configurationFile(std::move(file)), requestLogSample(sample), log(logs, "gateway"),
          signals(context, SIGTERM, SIGINT, SIGHUP), firstListTimer(context),
          shutdownSequence(context), reportTimer(context) {}

    int run() {
        std::signal(SIGPIPE, SIG_IGN);
        try {
            configuration = readConfiguration(configurationFile);
        } catch (const std::exception &fault) {
            log.warn("configuration", {{"file", configurationFile}, {"fault", fault.what()}});
            return kExitBadConfiguration;
        }
        limits = divideResources(configuration.sockets, configuration.memoryMb,
                                 configuration.settings.maxRequestsInFlight,
                                 configuration.settings.keptIdle);
        transport = std::make_unique<PlatformTransport>(context, clock, configuration, limits, log);
        if (!createGateway())
            return kExitCannotListen;
        restoreKnownState();
        log.info("listening", {{"listen", format(gateway->address())}});
        callAfter(firstListTimer, startupPlan().firstListTimeout, [this] { startServing(); });
        gateway->onEndpointsChanged = [this] { startServing(); };
        awaitSignal();
        reportPeriodically();
        context.run();
        log.info("ended", counts());
        return kExitOk;
    }

  private:
    // A process of before may hold the address for a moment more: it is waited for.
    bool createGateway() {
        GatewaySettings settings = toGatewaySettings(configuration, limits);
        settings.requestLogSample = requestLogSample;
        const auto deadline = std::chrono::steady_clock::now() + startupPlan().listenTimeout;
        bool logged = false;
        while (!gateway) {
            try {
                gateway = std::make_unique<Gateway>(context, clock, settings, configuration.seed,
                                                    log, *transport);
            } catch (const std::system_error &fault) {
                const bool retry = fault.code() == asio::error::address_in_use &&
                                   std::chrono::steady_clock::now() < deadline;
                if (!logged || !retry)
                    log.warn("listen",
                             {{"address", format(configuration.listen)}, {"fault", fault.what()}});
                if (!retry)
                    return false;
                logged = true;
                std::this_thread::sleep_for(startupPlan().listenRetryInterval);
            }
        }
        return true;
    }

    void restoreKnownState() {
        gateway->remember(toEndpointListUpdate(configuration.knownEndpoints));
        if (configuration.knownRollout)
            gateway->tell(*configuration.knownRollout);
    }

    // With the first list, or without it where it does not come in time. Later calls do nothing.
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

    nlohmann::json counts() const {
        nlohmann::json out = countersJson(*gateway);
        out["refused"] = gateway->counts().unrouted;
        out["clients"] = gateway->connections();
        out["upstreams"] = transport->upstreamPool->connections();
        return out;
    }

    void reportPeriodically() {
        callAfter(reportTimer, kReportInterval, [this] {
            log.info("counts", counts());
            reportPeriodically();
        });
    }

    void awaitSignal() {
        signals.async_wait([this](asio::error_code fault, int number) {
            if (fault)
                return;
            if (onSignal(number))
                awaitSignal();
        });
    }

    // Whether the process goes on.
    bool onSignal(int number) {
        if (number == SIGHUP) {
            reloadConfiguration();
        } else if (!shutdownSequence.started()) {
            shutDown();
        } else if (number == SIGINT) {
            context.stop();
            return false;
        } else {
            log.info("draining-already", {{"inHand", gateway->inHand()}});
        }
        return true;
    }

    // Where discovery and the control service are; the rest stands for the life of the process.
    void reloadConfiguration() {
        try {
            const PlatformConfiguration changed = readConfiguration(configurationFile);
            transport->controlPlaneClient->setAddresses({changed.discovery, changed.control});
            log.info("configuration", {{"discovery", format(changed.discovery)},
                                       {"control", format(changed.control)}});
        } catch (const std::exception &fault) {
            log.warn("configuration-kept", {{"file", configurationFile}, {"fault", fault.what()}});
        }
    }

    void shutDown() {
        log.info("draining", {{"inHand", gateway->inHand()}});
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
    asio::steady_timer reportTimer;
    PlatformConfiguration configuration;
    ResourceLimits limits;
    std::unique_ptr<PlatformTransport> transport;
    std::unique_ptr<Gateway> gateway;
    bool serving = false;
};

}  // namespace

int runGateway(const std::string &configurationFile, LogForm logs, double requestLogSample) {
    return Service(configurationFile, logs, requestLogSample).run();
}

}  // namespace deckcart::platform
