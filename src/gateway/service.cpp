#include "service.hpp"

#include <csignal>
#include <random>

#include "../base/address.hpp"
#include "../base/snapshot.hpp"

namespace deckcart {
namespace {

using nlohmann::json;

constexpr int kSettingsFormat = 1, kListFormat = 1, kSourcesFormat = 1;
constexpr auto kListSavedEvery = std::chrono::seconds(1);
constexpr std::size_t kMostDocument =
    4 * 1024 * 1024;  // settings of the largest site are a tenth of it

std::int64_t wallMs() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

class Service {
  public:
    explicit Service(const ServiceStart &with)
        : start(with), log(with.logs, "gateway"), signals(context, SIGTERM, SIGINT),
          saver(context) {}

    int run() {
        std::signal(SIGPIPE, SIG_IGN);
        if (!start.state.empty()) {
            std::error_code fault;
            std::filesystem::create_directories(start.state, fault);
            if (fault)
                return log.warn("state",
                                {{"folder", start.state.string()}, {"fault", fault.message()}}),
                       1;
        }
        GatewaySettings settings;
        const auto saved = read("settings.json", kSettingsFormat);
        if (saved && saved->contains("settings")) {
            auto got = parseSettings(saved->at("settings"));
            if (got.settings)
                settings = *got.settings, document = saved->at("settings");
            else
                log.warn("settings-refused",
                         {{"from", "settings.json"}, {"refused", toJson(got.refused)}});
        }
        const auto seed =
            document.value("/gateway/seed"_json_pointer, std::uint64_t{std::random_device{}()});
        try {
            gateway = std::make_unique<Gateway>(context, clock, std::move(settings), seed, log,
                                                start.listen, start.faults);
            http::ListenerLimits limits;
            limits.connections = 256, limits.bodyBytes = kMostDocument;
            api = std::make_unique<http::Listener>(
                context, start.api, limits,
                [this](std::shared_ptr<http::Exchange> e) { serve(*e); });
        } catch (const std::system_error &fault) {
            log.warn("listen", {{"fault", fault.what()}});
            return 1;
        }
        recall();
        gateway->onListed = [this] { listChanged = true; };
        saveSoon();
        const json ready{{"listen", format(gateway->address())}, {"api", format(api->address())}};
        log.info("ready", ready);
        if (!start.readyFile.empty())
            if (const auto fault =
                    writeWhole(start.readyFile, ready.dump() + "\n", Durable::atLeisure);
                !fault.empty())
                return log.warn("ready-file", {{"fault", fault}}), 1;
        onSignal();
        context.run();
        saveList();
        log.info("ended", counts());
        return 0;
    }

  private:
    std::optional<json> read(const char *name, int format) {
        if (start.state.empty())
            return std::nullopt;
        auto got = readSnapshot(start.state / name, format);
        if (!got.fault.empty())
            log.warn("set-aside", {{"fault", got.fault}});
        return got.document;
    }

    void recall() {
        if (auto *feed = gateway->members())
            return recallSources(feed->now());
        const auto saved = read("list.json", kListFormat);
        if (!saved)
            return;
        try {
            // A wall clock that went back makes them no younger than they were.
            const double since = double(
                std::max<std::int64_t>(0, wallMs() - saved->at("savedMs").get<std::int64_t>()));
            std::vector<ListedEndpoint> list;
            for (const auto &one : saved->at("instances")) {
                list.push_back(readListed(one));
                if (list.back().age)
                    *list.back().age += Duration{std::llround(since * 1000)};
            }
            gateway->remember(list);
            log.info("recalled", {{"instances", list.size()}, {"sinceMs", since}});
        } catch (const std::exception &fault) {
            log.warn("set-aside", {{"fault", std::string("list.json: ") + fault.what()}});
        }
    }

    void recallSources(Duration now) {
        const auto saved = read("sources.json", kSourcesFormat);
        if (!saved)
            return;
        try {
            const auto since =
                std::max<std::int64_t>(0, wallMs() - saved->at("savedMs").get<std::int64_t>());
            const auto sources =
                readSaved(saved->at("sources"), now, std::chrono::milliseconds(since));
            gateway->remember(sources);
            log.info("recalled", {{"sources", sources.size()}, {"sinceMs", since}});
        } catch (const std::exception &fault) {
            log.warn("set-aside", {{"fault", std::string("sources.json: ") + fault.what()}});
        }
    }

    void saveSoon() {
        if (start.state.empty())
            return;
        saver.expires_after(kListSavedEvery);
        saver.async_wait([this](asio::error_code fault) {
            if (fault)
                return;
            saveList();
            saveSoon();
        });
    }
    json listedJson() const {
        json instances = json::array();
        for (const auto &one : gateway->listed())
            instances.push_back(toJson(one));
        return instances;
    }
    void saveList() {
        if (start.state.empty() || !listChanged)
            return;
        auto *feed = gateway->members();
        json whole{{"format", feed ? kSourcesFormat : kListFormat}, {"savedMs", wallMs()}};
        if (feed)
            whole["sources"] = toJson(feed->saved(), feed->now());
        else
            whole["instances"] = listedJson();
        const auto fault = writeWhole(start.state / (feed ? "sources.json" : "list.json"),
                                      whole.dump() + "\n", Durable::atLeisure);
        if (fault.empty())
            listChanged = false;  // else tried again
        if (fault != saveFault && !fault.empty())
            log.warn("save", {{"fault", fault}});
        saveFault = fault;
    }

    void onSignal() {
        signals.async_wait([this](asio::error_code fault, int number) {
            if (fault)
                return;
            if (draining) {
                log.warn("ended-at-once", {{"signal", number}, {"inHand", gateway->inHand()}});
                return context.stop();
            }
            draining = true;
            log.info("draining", {{"signal", number}, {"inHand", gateway->inHand()}});
            gateway->drain([this] {
                // The last answers are written; their readers get a moment to take them.
                saver.expires_after(std::chrono::milliseconds(50));
                saver.async_wait([this](asio::error_code) { context.stop(); });
            });
            onSignal();
        });
    }

    json counts() const {
        json out = countsOf(*gateway);
        out["unrouted"] = gateway->counts().unrouted, out["connections"] = gateway->connections();
        out["decisions"] = gateway->counts().decisions;
        return out;
    }

    static void answer(http::Exchange &to, int status, const json &body) {
        http::ResponseHead head;
        head.status = status;
        const char *type =
            status >= 400 ? "application/problem+json" : "application/json";  // RFC 9457
        head.headers = {{"Content-Type", type}};
        to.answer(std::move(head), body.dump(2, ' ', false, json::error_handler_t::replace) + "\n");
    }
    static void problem(http::Exchange &to, int status, const std::string &detail,
                        json refused = json::array()) {
        json body{{"status", status}, {"title", http::reasonOf(status)}, {"detail", detail}};
        if (!refused.empty())
            body["refused"] = std::move(refused);
        answer(to, status, body);
    }

    void serve(http::Exchange &call) {
        const std::string path = call.head.target.substr(0, call.head.target.find('?'));
        const std::string &method = call.head.method;
        const auto only = [&](const char *allowed) {
            if (method == allowed)
                return true;
            problem(call, 405, std::string("this takes ") + allowed + " only");
            return false;
        };
        if (path == "/v1/settings" && method == "PUT")
            return put(call);
        if (path == "/v1/settings") {
            if (only("GET"))
                answer(call, 200, document);
        } else if (path == "/v1/schemas/settings") {
            if (only("GET"))
                answer(call, 200, settingsSchema());
        } else if (path == "/v1/status") {
            if (only("GET"))
                answer(call, 200, counts());
        } else if (path == "/v1/members") {
            if (!only("GET"))
                return;
            json body{{"instances", json::array()}};
            if (auto *feed = gateway->members()) {
                body =
                    toJson(feed->view(), feed->sources(), gateway->settings().zones, feed->now());
                const auto asked = feed->asked();
                body["questions"] = {{"asked", asked.questions}, {"overUdp", asked.udp},
                                     {"overTcp", asked.tcp},     {"answered", asked.answers},
                                     {"failed", asked.failures}, {"dropped", asked.dropped}};
            } else
                body["instances"] = listedJson();
            if (const auto stage = gateway->stage())
                body["stage"] = toJson(*stage);
            answer(call, 200, body);
        } else if (path == "/v1/wrong-answers") {
            if (!only("POST"))
                return;
            const json said = json::parse(call.body, nullptr, false);
            if (!said.is_object() || !said.contains("req") || !said["req"].is_string())
                return problem(call, 400, "the body is not {\"req\": ID}");
            if (!gateway->reportIncorrectResponse(said["req"].get<std::string>()))
                return problem(call, 404, "no answer to that req is remembered here");
            answer(call, 202, json::object());
        } else
            problem(call, 404, "no such resource");
    }

    void put(http::Exchange &call) {
        json said;
        try {
            said = json::parse(call.body);
        } catch (const json::parse_error &fault) {
            return problem(call, 400, std::string("the body is not JSON: ") + fault.what());
        }
        auto read = parseSettings(said);
        if (!read.settings)
            return problem(call, 422, "refused; nothing has changed", toJson(read.refused));
        const bool newModule = document.empty() || !sameModule(document, said);
        if (newModule && !document.empty() && !gateway->mayRestartModule())
            return problem(call, 409,
                           "more than one build is listed: /gateway, /zones, /routes, /accounts, "
                           "/allowed, /rules and "
                           "/release can change when one is; the others can now");
        if (!start.state.empty()) {
            const json whole{{"format", kSettingsFormat}, {"settings", said}};
            const auto fault =
                writeWhole(start.state / "settings.json", whole.dump(2) + "\n", Durable::yes);
            if (!fault.empty()) {
                log.warn("save", {{"fault", fault}});
                return problem(call, 500, "not kept, so nothing has changed: " + fault);
            }
        }
        // Zones too: entries of the sources name them by number.
        const bool sourcesMoved =
            document.value("sources", json{}) != said.value("sources", json{}) ||
            document.value("zones", json{}) != said.value("zones", json{}) ||
            document.contains("desk") != said.contains("desk");
        document = std::move(said);
        gateway->apply(std::move(*read.settings), newModule, sourcesMoved);
        log.info("settings", {{"newModule", newModule}});
        answer(call, 200, document);
    }

    ServiceStart start;
    Log log;
    SteadyClock clock;
    asio::io_context context{1};
    asio::signal_set signals;
    asio::steady_timer saver;
    std::unique_ptr<Gateway> gateway;
    std::unique_ptr<http::Listener> api;
    json document = json::object();  // empty: none yet
    bool draining = false, listChanged = false;
    std::string saveFault;
};

}  // namespace

int runGateway(const ServiceStart &start) {
    return Service(start).run();
}

}  // namespace deckcart
