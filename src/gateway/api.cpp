#include "api.hpp"

#include <array>
#include <string>
#include <string_view>

#include "endpoint_documents.hpp"

namespace deckcart {
namespace {

using nlohmann::json;

// Settings of the largest site are a tenth of it.
constexpr std::size_t kMaxDocumentBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t kMaxConnections = 256;  // operators and their scripts are far fewer

http::ListenerLimits listenerLimits() {
    http::ListenerLimits limits;
    limits.connections = kMaxConnections;
    limits.bodyBytes = kMaxDocumentBytes;
    return limits;
}

void answer(http::Exchange &exchange, int status, const json &body) {
    http::ResponseHead head;
    head.status = status;
    const char *type = status >= 400 ? "application/problem+json" : "application/json";
    head.headers = {{"Content-Type", type}};
    exchange.answer(std::move(head),
                    body.dump(2, ' ', false, json::error_handler_t::replace) + "\n");
}

void problem(http::Exchange &exchange, int status, const std::string &detail,
             json refused = json::array()) {
    json body{{"status", status}, {"title", http::reasonOf(status)}, {"detail", detail}};
    if (!refused.empty())
        body["refused"] = std::move(refused);
    answer(exchange, status, body);
}

/// Whether the sources have to be set up anew. Zones count too: entries of the sources name them
/// by number.
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

/// A path and the one method that it takes; /v1/settings takes PUT besides.
struct GatewayApi::Resource {
    std::string_view path;
    std::string_view method;
    void (GatewayApi::*handler)(http::Exchange &exchange);
};

GatewayApi::GatewayApi(asio::io_context &context, const asio::ip::tcp::endpoint &at, Gateway &of,
                       const StateStore &in, Log to, json settings)
    : gateway(of), store(in), log(std::move(to)), document(std::move(settings)),
      listener(context, at, listenerLimits(),
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
        return problem(exchange, 404, "no such resource");
    if (path == "/v1/settings" && method == "PUT")
        return putSettings(exchange);
    if (method != resource->method)
        return problem(exchange, 405, "this takes " + std::string(resource->method) + " only");
    (this->*resource->handler)(exchange);
}

void GatewayApi::getSettings(http::Exchange &exchange) {
    answer(exchange, 200, document);
}

void GatewayApi::getSchema(http::Exchange &exchange) {
    answer(exchange, 200, settingsSchema());
}

void GatewayApi::getStatus(http::Exchange &exchange) {
    answer(exchange, 200, statusOf(gateway));
}

void GatewayApi::getMembers(http::Exchange &exchange) {
    json body{{"instances", json::array()}};
    if (auto *watcher = gateway.members()) {
        body =
            toJson(watcher->view(), watcher->sources(), gateway.settings().zones, watcher->now());
        body["questions"] = toJson(watcher->asked());
    } else {
        body["instances"] = toJson(gateway.listed());
    }
    if (const auto stage = gateway.stage())
        body["stage"] = toJson(*stage);
    answer(exchange, 200, body);
}

void GatewayApi::postIncorrectResponse(http::Exchange &exchange) {
    const json report = json::parse(exchange.body, nullptr, false);
    if (!report.is_object() || !report.contains("req") || !report["req"].is_string())
        return problem(exchange, 400, "the body is not {\"req\": ID}");
    if (!gateway.reportIncorrectResponse(report["req"].get<std::string>()))
        return problem(exchange, 404, "no answer to that req is remembered here");
    answer(exchange, 202, json::object());
}

void GatewayApi::putSettings(http::Exchange &exchange) {
    json wanted;
    try {
        wanted = json::parse(exchange.body);
    } catch (const json::parse_error &fault) {
        return problem(exchange, 400, std::string("the body is not JSON: ") + fault.what());
    }
    auto parsed = parseSettings(wanted);
    if (!parsed.settings)
        return problem(exchange, 422, "refused; nothing has changed", toJson(parsed.refused));
    const bool newModule = document.empty() || !sameModule(document, wanted);
    if (newModule && !document.empty() && !gateway.mayRestartPolicy())
        return problem(exchange, 409,
                       "more than one build is listed: /gateway, /zones, /routes, /accounts, "
                       "/allowed, /rules and "
                       "/release can change when one is; the others can now");
    const std::string fault = store.saveSettings(wanted);
    if (!fault.empty()) {
        log.warn("save", {{"fault", fault}});
        return problem(exchange, 500, "not kept, so nothing has changed: " + fault);
    }
    const bool newSources = sourcesDiffer(document, wanted);
    document = std::move(wanted);
    gateway.apply(std::move(*parsed.settings), newModule, newSources);
    log.info("settings", {{"newModule", newModule}});
    answer(exchange, 200, document);
}

json statusOf(const Gateway &gateway) {
    json status = countersJson(gateway);
    status["unrouted"] = gateway.counts().unrouted;
    status["connections"] = gateway.connections();
    status["decisions"] = gateway.counts().decisions;
    return status;
}

}  // namespace deckcart
