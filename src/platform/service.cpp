#include "service.hpp"

#include <csignal>
#include <thread>

#include "../base/address.hpp"
#include "../base/snapshot.hpp"
#include "transport.hpp"

namespace deckcart::platform {
namespace {

constexpr auto kReportEvery = std::chrono::seconds(5);

Start read(const std::string &file) {
    const auto whole = readWhole(file);
    if (!whole)
        throw std::invalid_argument("the file can't be read");
    return readStart(*whole);
}

class Service {
  public:
    Service(std::string from, LogForm form, double sample)
        : file(std::move(from)), requestLogSample(sample), log(form, "gateway"),
          signals(context, SIGTERM, SIGINT, SIGHUP), listWithin(context), acceptsUntil(context),
          answersUntil(context), stopsAt(context), reporter(context) {}

    int run() {
        std::signal(SIGPIPE, SIG_IGN);
        try {
            start = read(file);
        } catch (const std::exception &fault) {
            log.warn("configuration", {{"file", file}, {"fault", fault.what()}});
            return 2;
        }
        bounds = divide(start.sockets, start.memoryMb, start.settings.maxRequestsInFlight,
                        start.settings.keptIdle);
        transport = std::make_unique<PlatformTransport>(context, clock, start, bounds, log);
        GatewaySettings settings = gatewaySettingsOf(start, bounds);
        settings.requestLogSample = requestLogSample;
        if (!open(settings))
            return 1;
        gateway->remember(listTold(start.known));
        if (start.news)
            gateway->tell(*start.news);
        log.info("listening", {{"listen", format(gateway->address())}});
        after(listWithin, platform::starting().firstListWithin, [this] { ready(); });
        gateway->onListed = [this] { ready(); };
        onSignal();
        report();
        context.run();
        log.info("ended", counts());
        return 0;
    }

  private:
    // A process of before may hold the address for a moment more: it is waited for.
    bool open(const GatewaySettings &settings) {
        const auto until = std::chrono::steady_clock::now() + platform::starting().listensWithin;
        for (bool said = false; !gateway; said = true)
            try {
                gateway = std::make_unique<Gateway>(context, clock, settings, start.seed, log,
                                                    *transport);
            } catch (const std::system_error &fault) {
                const bool waits = fault.code() == asio::error::address_in_use &&
                                   std::chrono::steady_clock::now() < until;
                if (!said || !waits)
                    log.warn("listen",
                             {{"address", format(start.listen)}, {"fault", fault.what()}});
                if (!waits)
                    return false;
                std::this_thread::sleep_for(platform::starting().listensAgain);
            }
        return true;
    }
    // Once: with the first list, or without it.
    void ready() {
        if (std::exchange(serving, true))
            return;
        listWithin.cancel();
        transport->respDownstream->open();
        log.info("ready", {{"name", start.name},
                           {"listen", format(gateway->address())},
                           {"known", start.known.members.size()},
                           {"clients", bounds.clients},
                           {"upstreams", bounds.upstreams},
                           {"reqs", bounds.maxRequestsInFlight},
                           {"cores", start.cores}});
    }
    nlohmann::json counts() const {
        nlohmann::json out = countsOf(*gateway);
        out["refused"] = gateway->counts().unrouted, out["clients"] = gateway->connections();
        out["upstreams"] = transport->upstreamPool->connections();
        return out;
    }
    void report() {
        reporter.expires_after(kReportEvery);
        reporter.async_wait([this](asio::error_code fault) {
            if (fault)
                return;
            log.info("counts", counts());
            report();
        });
    }

    void onSignal() {
        signals.async_wait([this](asio::error_code fault, int number) {
            if (fault)
                return;
            if (number == SIGHUP)
                reload();
            else if (!ending)
                end();
            else if (number == SIGINT)
                return context.stop();
            else
                log.info("draining-already", {{"inHand", gateway->inHand()}});
            onSignal();
        });
    }

    // Where discovery and the control service are; the rest stands for the life of the process.
    void reload() {
        try {
            const Start again = read(file);
            transport->controlPlaneClient->move({again.discovery, again.control});
            log.info("configuration",
                     {{"discovery", format(again.discovery)}, {"control", format(again.control)}});
        } catch (const std::exception &fault) {
            log.warn("configuration-kept", {{"file", file}, {"fault", fault.what()}});
        }
    }

    void end() {
        ending = true;
        const auto plan = platform::ending(start.settings.longestTimeout());
        log.info("draining", {{"inHand", gateway->inHand()}});
        // Three waits of their own: none displaces another.
        after(acceptsUntil, plan.acceptsFor,
              [this] { gateway->drain([this] { context.stop(); }); });
        after(answersUntil, plan.answersBy, [this] { gateway->endInHand(); });
        after(stopsAt, plan.answersBy + plan.lastWords, [this] { context.stop(); });
    }
    static void after(asio::steady_timer &timer, Duration span, std::function<void()> what) {
        timer.expires_after(span);
        timer.async_wait([what = std::move(what)](asio::error_code fault) {
            if (!fault)
                what();
        });
    }

    std::string file;
    double requestLogSample;
    Log log;
    SteadyClock clock;
    asio::io_context context{1};
    asio::signal_set signals;
    asio::steady_timer listWithin, acceptsUntil, answersUntil, stopsAt, reporter;
    Start start;
    Bounds bounds;
    std::unique_ptr<PlatformTransport> transport;
    std::unique_ptr<Gateway> gateway;
    bool serving = false, ending = false;
};

}  // namespace

int runGateway(const std::string &file, LogForm logs, double requestLogSample) {
    return Service(file, logs, requestLogSample).run();
}

}  // namespace deckcart::platform
