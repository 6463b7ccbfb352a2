#include "api.hpp"

#include <array>
#include <string>
#include <string_view>

#include "endpoint_documents.hpp"

namespace deckcart {
namespace {

using nlohmann::json;

// Ten times the settings document of the largest site.
constexpr std::size_t kMaxDocumentBytes = std::size_t{4} * 1024 * 1024;
// Far above the number that operators and their scripts need.
constexpr std::size_t kMaxConnections = 256;

http::ListenerLimits listenerLimits() {
    http::ListenerLimits limits;
    limits.connections = kMaxConnections;
    limits.bodyBytes = kMaxDocumentBytes;
    return limits;
}

void respond(http::Exchange &exchange, int status, const json &body) {
    http::ResponseHead head;
    head.status = status;
    const char *type = status >= 400 ? "application/problem+json" : "application/json";
    head.headers = {{"Content-Type", type}};
    exchange.answer(std::move(head),
                    body.dump(2, ' ', false, json::error_handler_t::replace) + "\n");
}

void respondWithProblem(http::Exchange &exchange, int status, const std::string &detail,
                        json refused = json::array()) {
    json body{{"status", status}, {"title", http::reasonOf(status)}, {"detail", detail}};
    if (!refused.empty())
        body["refused"] = std::move(refused);
    respond(exchange, status, body);
}

/// Whether the sources have to be set up again. This includes the zones, since the sources'
/// entries refer to them by number.
bool sourcesDiffer(const json &before, const json &after) {
    return before.value("sources", json{}) != after.value("sources", json{}) ||
           before.value("zones", json{}) != after.value("zones", json{}) ||
           before.contains("desk") != after.contains("desk");
}

json toJson(const dns::ResolverCounts &counts) {
    return {{"asked", counts.questions},  {"overUdp", counts.udp},     {"overTcp", counts.tcp},
            {"answered", counts.answers}, {"failed", counts.failures}, {"dropped", counts.dropped}};
}

}  // namespace

/// A path and its method. /v1/settings also accepts PUT, see serve().
struct GatewayApi::Resource {
    std::string_view path;
    std::string_view method;
    void (GatewayApi::*handler)(http::Exchange &exchange);
};

GatewayApi::GatewayApi(asio::io_context &context, const asio::ip::tcp::endpoint &listenAddress,
                       Gateway &servedGateway, const StateStore &stateStore, Log target,
                       json settings)
    : gateway(servedGateway), store(stateStore), log(std::move(target)),
      settingsDocument(std::move(settings)),
      listener(context, listenAddress, listenerLimits(),
               [this](const std::shared_ptr<http::Exchange> &exchange) { serve(*exchange); }) {}

const GatewayApi::Resource *GatewayApi::resourceAt(const std::string &path) {
    static constexpr std::array kResources{
        Resource{"/v1/settings", "GET", &GatewayApi::getSettings},
        Resource{"/v1/schemas/settings", "GET", &GatewayApi::getSchema},
        Resource{"/v1/status", "GET", &GatewayApi::getStatus},
        Resource{"/v1/members", "GET", &GatewayApi::getMembers},
        Resource{"/v1/wrong-answers", "POST", &GatewayApi::postIncorrectResponse},
    };
    for (const auto &resource : kResources)
        if (resource.path == path)
            return &resource;
    return nullptr;
}

void GatewayApi::serve(http::Exchange &exchange) {
    const std::string path = exchange.head.target.substr(0, exchange.head.target.find('?'));
    const std::string &method = exchange.head.method;
    const Resource *resource = resourceAt(path);
    if (!resource)
        return respondWithProblem(exchange, 404, "no such resource");
    if (path == "/v1/settings" && method == "PUT")
        return putSettings(exchange);
    if (method != resource->method)
        return respondWithProblem(
            exchange, 405, "this resource accepts " + std::string(resource->method) + " only");
    (this->*resource->handler)(exchange);
}

void GatewayApi::getSettings(http::Exchange &exchange) {
    respond(exchange, 200, settingsDocument);
}

void GatewayApi::getSchema(http::Exchange &exchange) {
    respond(exchange, 200, settingsSchema());
}

void GatewayApi::getStatus(http::Exchange &exchange) {
    respond(exchange, 200, statusJson(gateway));
}

void GatewayApi::getMembers(http::Exchange &exchange) {
    json body{{"instances", json::array()}};
    if (auto *watcher = gateway.endpointWatcher()) {
        body =
            toJson(watcher->view(), watcher->sources(), gateway.settings().zones, watcher->now());
        body["questions"] = toJson(watcher->dnsCounts());
    } else {
        body["instances"] = toJson(gateway.endpointList());
    }
    if (const auto stage = gateway.stage())
        body["stage"] = toJson(*stage);
    respond(exchange, 200, body);
}

void GatewayApi::postIncorrectResponse(http::Exchange &exchange) {
    const json report = json::parse(exchange.body, nullptr, false);
    if (!report.is_object() || !report.contains("req") || !report["req"].is_string())
        return respondWithProblem(exchange, 400, "the body must have the form {\"req\": ID}");
    if (!gateway.reportIncorrectResponse(report["req"].get<std::string>()))
        return respondWithProblem(exchange, 404,
                                  "no response to this request id is in the history");
    respond(exchange, 202, json::object());
}

void GatewayApi::putSettings(http::Exchange &exchange) {
    json requested;
    try {
        requested = json::parse(exchange.body);
    } catch (const json::parse_error &error) {
        return respondWithProblem(exchange, 400,
                                  std::string("the body is not JSON: ") + error.what());
    }
    auto parsed = parseSettings(requested);
    if (!parsed.settings)
        return respondWithProblem(exchange, 422, "settings rejected; nothing has changed",
                                  toJson(parsed.refused));
    const bool policyChanged =
        settingsDocument.empty() || !samePolicySettings(settingsDocument, requested);
    if (policyChanged && !settingsDocument.empty() && !gateway.mayRestartPolicy())
        return respondWithProblem(
            exchange, 409,
            "more than one build is listed: /gateway, /zones, /routes, /accounts, "
            "/allowed, /rules and "
            "/release can change only while a single build is listed; the other settings can "
            "change now");
    const std::string error = store.saveSettings(requested);
    if (!error.empty()) {
        log.warn("save", {{"fault", error}});
        return respondWithProblem(exchange, 500,
                                  "settings could not be saved, so nothing has changed: " + error);
    }
    const bool sourcesChanged = sourcesDiffer(settingsDocument, requested);
    settingsDocument = std::move(requested);
    gateway.applySettings(std::move(*parsed.settings), policyChanged, sourcesChanged);
    log.info("settings", {{"newModule", policyChanged}});
    respond(exchange, 200, settingsDocument);
}

json statusJson(const Gateway &gateway) {
    json status = countersJson(gateway);
    status["unrouted"] = gateway.counts().unrouted;
    status["connections"] = gateway.connections();
    status["decisions"] = gateway.counts().decisions;
    return status;
}

}  // namespace deckcart
