#include "service.hpp"

#include <csignal>
#include <memory>
#include <random>

#include "../base/address.hpp"
#include "../base/snapshot.hpp"
#include "api.hpp"
#include "endpoint_persistence.hpp"
#include "shutdown_signals.hpp"
#include "state_store.hpp"

namespace deckcart {
namespace {

using nlohmann::json;

// Time for clients to read the last responses, which are written just before the drain completes.
constexpr auto kDrainGrace = std::chrono::milliseconds(50);

class Service {
  public:
    explicit Service(const ServiceOptions &startOptions)
        : options(startOptions), log(startOptions.logs, "gateway"), store(startOptions.state, log),
          signals(context), endTimer(context) {}

    int run() {
        std::signal(SIGPIPE, SIG_IGN);
        if (!store.createFolder() || !createGateway())
            return 1;
        endpoints->restore();
        endpoints->start();
        if (!reportReady())
            return 1;
        signals.start([this](int signal) { drain(signal); },
                      [this](int signal) { stopNow(signal); });
        context.run();
        endpoints->save();
        log.info("ended", statusJson(*gateway));
        return 0;
    }

  private:
    /// Creates the gateway and its API from the saved settings. Returns false if one of them can't
    /// listen.
    bool createGateway() {
        auto stored = store.loadSettings();
        const auto seed = stored.document.value("/gateway/seed"_json_pointer,
                                                std::uint64_t{std::random_device{}()});
        try {
            gateway = std::make_unique<Gateway>(context, clock, std::move(stored.settings), seed,
                                                log, options.listen, options.faults);
            api = std::make_unique<GatewayApi>(context, options.api, *gateway, store, log,
                                               std::move(stored.document));
        } catch (const std::system_error &error) {
            log.warn("listen", {{"fault", error.what()}});
            return false;
        }
        endpoints = std::make_unique<EndpointPersistence>(context, *gateway, store, log);
        return true;
    }

    /// Logs the addresses and writes the ready file. Returns false if the file can't be written.
    bool reportReady() {
        const json ready{{"listen", format(gateway->address())}, {"api", format(api->address())}};
        log.info("ready", ready);
        if (options.readyFile.empty())
            return true;
        const auto error =
            writeFileAtomically(options.readyFile, ready.dump() + "\n", Durability::notSynced);
        if (!error.empty())
            log.warn("ready-file", {{"fault", error}});
        return error.empty();
    }

    void drain(int signal) {
        log.info("draining", {{"signal", signal}, {"inHand", gateway->requestsInFlight()}});
        gateway->drain([this] {
            endpoints->stop();
            endTimer.expires_after(kDrainGrace);
            endTimer.async_wait([this](asio::error_code) { context.stop(); });
        });
    }

    void stopNow(int signal) {
        log.warn("ended-at-once", {{"signal", signal}, {"inHand", gateway->requestsInFlight()}});
        context.stop();
    }

    ServiceOptions options;
    Log log;
    SteadyClock clock;
    StateStore store;
    asio::io_context context{1};
    ShutdownSignals signals;
    asio::steady_timer endTimer;
    std::unique_ptr<Gateway> gateway;
    std::unique_ptr<EndpointPersistence> endpoints;
    std::unique_ptr<GatewayApi> api;
};

}  // namespace

int runGateway(const ServiceOptions &options) {
    return Service(options).run();
}

}  // namespace deckcart
