#include "service.hpp"

#include <csignal>
#include <fstream>
#include <sstream>

#include "../base/address.hpp"
#include "../gateway/gateway.hpp"
#include "ways.hpp"

namespace deckcart::platform {
namespace {

constexpr auto kLastWords = std::chrono::milliseconds(100);  // for readers of the last answers
constexpr auto kReportEvery = std::chrono::seconds(5);

std::string readWhole(const std::string &file) {
    std::ifstream in(file, std::ios::binary);
    if (!in) throw std::invalid_argument("the file can't be read");
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

class Service {
  public:
    Service(std::string from, LogForm form, double sample)
        : file(std::move(from)), reqSample(sample), log(form, "gateway"),
          signals(context, SIGTERM, SIGINT, SIGHUP), timer(context), reporter(context) {}

    int run() {
        std::signal(SIGPIPE, SIG_IGN);
        try {
            start = readStart(readWhole(file));
        } catch (const std::exception &fault) {
            log.warn("configuration", {{"file", file}, {"fault", fault.what()}});
            return 2;
        }
        const auto bounds =
            divide(start.sockets, start.memoryMb, start.settings.reqsInHand, start.settings.keptIdle);
        ways = std::make_unique<PlatformWays>(context, clock, start, bounds, log);
        GatewayOrders orders = ordersOf(start, bounds);
        orders.reqSample = reqSample;
        try {
            gateway = std::make_unique<Gateway>(context, clock, std::move(orders), start.seed, log, *ways);
        } catch (const std::system_error &fault) {
            log.warn("listen", {{"address", start.listen}, {"fault", fault.what()}});
            return 1;
        }
        gateway->remember(listTold(start.known));
        if (start.news) gateway->tell(*start.news);
        log.info("ready", {{"name", start.name},
                           {"listen", format(gateway->address())},
                           {"known", start.known.members.size()},
                           {"clients", bounds.clients},
                           {"upstreams", bounds.upstreams},
                           {"reqs", bounds.reqsInHand},
                           {"cores", start.cores}});
        onSignal();
        report();
        context.run();
        log.info("ended", counts());
        return 0;
    }

  private:
    nlohmann::json counts() const {
        const auto &c = gateway->counts();
        return {{"taken", c.taken},
                {"completed", c.completed},
                {"shed", c.shed},
                {"errored", c.errored},
                {"gone", c.gone},
                {"inHand", gateway->inHand()},
                {"tries", c.tries},
                {"overdue", c.overdue},
                {"standstills", c.standstills},
                {"turnedAway", c.turnedAway},
                {"refused", c.unrouted},
                {"clients", gateway->connections()},
                {"upstreams", ways->calls->connections()},
                {"decidingMs", milliseconds(c.deciding)},
                {"longestDecidingMs", milliseconds(c.longestDeciding)}};
    }
    void report() {
        reporter.expires_after(kReportEvery);
        reporter.async_wait([this](asio::error_code fault) {
            if (fault) return;
            log.info("counts", counts());
            report();
        });
    }

    void onSignal() {
        signals.async_wait([this](asio::error_code fault, int number) {
            if (fault) return;
            if (number == SIGHUP) reload();
            else if (ending) return context.stop();
            else end();
            onSignal();
        });
    }

    // Where discovery and the control service are; the rest stands for the life of the process.
    void reload() {
        try {
            const Start again = readStart(readWhole(file));
            ways->desks->move({*parseAddress(again.discovery), *parseAddress(again.control)});
            log.info("configuration", {{"discovery", again.discovery}, {"control", again.control}});
        } catch (const std::exception &fault) {
            log.warn("configuration-kept", {{"file", file}, {"fault", fault.what()}});
        }
    }

    void end() {
        ending = true;
        Span longest{};
        for (const Span one : start.settings.routeTimeouts) longest = std::max(longest, one);
        const auto plan = platform::ending(longest);
        log.info("draining", {{"inHand", gateway->inHand()}});
        after(plan.acceptsFor, [this, plan] {
            gateway->drain([this] { after(kLastWords, [this] { context.stop(); }); });
            if (gateway->inHand() == 0) return;
            after(plan.answersBy - plan.acceptsFor, [this] { gateway->endInHand(); });
        });
    }
    void after(Span span, std::function<void()> what) {
        timer.expires_after(span);
        timer.async_wait([what = std::move(what)](asio::error_code fault) {
            if (!fault) what();
        });
    }

    std::string file;
    double reqSample;
    Log log;
    SteadyClock clock;
    asio::io_context context{1};
    asio::signal_set signals;
    asio::steady_timer timer, reporter;
    Start start;
    std::unique_ptr<PlatformWays> ways;
    std::unique_ptr<Gateway> gateway;
    bool ending = false;
};

}  // namespace

int runGateway(const std::string &file, LogForm logs, double reqSample) {
    return Service(file, logs, reqSample).run();
}

}  // namespace deckcart::platform
