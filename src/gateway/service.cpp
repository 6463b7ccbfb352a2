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

// The last answers are written when a drain ends; their readers get a moment to take them.
constexpr auto kDrainGrace = std::chrono::milliseconds(50);

class Service {
  public:
    explicit Service(const ServiceStart &with)
        : start(with), log(with.logs, "gateway"), store(with.state, log), signals(context),
          endTimer(context) {}

    int run() {
        std::signal(SIGPIPE, SIG_IGN);
        if (!store.open() || !open())
            return 1;
        endpoints->restore();
        endpoints->start();
        if (!reportReady())
            return 1;
        signals.start([this](int signal) { drain(signal); }, [this](int signal) { end(signal); });
        context.run();
        endpoints->save();
        log.info("ended", statusOf(*gateway));
        return 0;
    }

  private:
    /// Makes the gateway and its API, with the settings that were kept. False if one can't listen.
    bool open() {
        auto stored = store.loadSettings();
        const auto seed = stored.document.value("/gateway/seed"_json_pointer,
                                                std::uint64_t{std::random_device{}()});
        try {
            gateway = std::make_unique<Gateway>(context, clock, std::move(stored.settings), seed,
                                                log, start.listen, start.faults);
            api = std::make_unique<GatewayApi>(context, start.api, *gateway, store, log,
                                               std::move(stored.document));
        } catch (const std::system_error &fault) {
            log.warn("listen", {{"fault", fault.what()}});
            return false;
        }
        endpoints = std::make_unique<EndpointPersistence>(context, *gateway, store, log);
        return true;
    }

    /// False if the file for it can't be written.
    bool reportReady() {
        const json ready{{"listen", format(gateway->address())}, {"api", format(api->address())}};
        log.info("ready", ready);
        if (start.readyFile.empty())
            return true;
        const auto fault = writeWhole(start.readyFile, ready.dump() + "\n", Durable::atLeisure);
        if (!fault.empty())
            log.warn("ready-file", {{"fault", fault}});
        return fault.empty();
    }

    void drain(int signal) {
        log.info("draining", {{"signal", signal}, {"inHand", gateway->inHand()}});
        gateway->drain([this] {
            endpoints->stop();
            endTimer.expires_after(kDrainGrace);
            endTimer.async_wait([this](asio::error_code) { context.stop(); });
        });
    }

    void end(int signal) {
        log.warn("ended-at-once", {{"signal", signal}, {"inHand", gateway->inHand()}});
        context.stop();
    }

    ServiceStart start;
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

int runGateway(const ServiceStart &start) {
    return Service(start).run();
}

}  // namespace deckcart
