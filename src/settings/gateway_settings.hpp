// What operators set for a gateway, as one JSON document: its types, its schema, its check against
// the rules. Given by PUT /v1/settings; kept as the same document. Times in the document are whole
// milliseconds.
#pragma once

#include <asio/ip/tcp.hpp>
#include <deckcart/policy.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "../base/schema.hpp"
#include "../dns/resolver.hpp"
#include "../http/server.hpp"
#include "../membership/claims.hpp"

namespace deckcart {

// A request belongs to the first rule whose method (empty: any) and path prefix fit.
struct RouteRule {
    std::string name, method, pathPrefix;
    Duration routeTimeout{};  // when the client gives up
};

// The names of the fields that carry what the module wants to know.
struct HeaderNames {
    std::string key = "X-Key", tenant = "X-Account", remaining = "X-Remaining-Ms",
                requestId = "X-Request-Id", full = "X-Instance-Full", load = "X-Load";
};

struct ControlPlaneSettings {
    asio::ip::tcp::endpoint address;
    Duration answerWithin{};  // a call that lists; votes have the module's own bound
    Duration silentFor{};     // a watch that has said nothing for so long is broken
};

struct UpstreamLimits {
    std::size_t connections = 256;  // to one instance; beyond it a try counts as a failed connect
    Duration connectWithin = std::chrono::milliseconds(250);
    Duration idleFor = std::chrono::seconds(15);
    std::size_t heldAnswerBytes =
        64 * 1024;  // a shorter answer is passed on whole, so that it can't be cut
    Duration stalledFor = std::chrono::seconds(10);  // an answer that has begun and goes no further
    Duration probeWithin = std::chrono::milliseconds(500);
    std::string probePath = "/probe";
};

// Where the list of instances comes from. Without it, it is the control plane's alone, as told.
struct SourceSettings {
    membership::MergeRules merge;
    std::vector<membership::Claim> nodes;
    std::vector<membership::SrvName> names;
    dns::ResolverSettings resolver;
};

struct GatewaySettings {
    std::string id = "gateway";
    PolicySettings module;  // but for the seed, which is drawn at each start
    std::vector<RouteRule> routes;
    std::vector<std::string> tenants, zones;
    HeaderNames headers;
    http::ListenerLimits listener;
    std::size_t maxRequestsInFlight = 4096;
    Duration turnedAwayFor =
        std::chrono::seconds(1);  // a request over that bound is told to come back then
    Duration answerMargin =
        std::chrono::milliseconds(30);  // final answers leave so long before the client's end
    Duration standstill =
        std::chrono::milliseconds(200);  // a turn of the loop later than that found a stopped clock
    UpstreamLimits upstream;
    std::optional<ControlPlaneSettings> controlPlane;
    std::optional<SourceSettings> sources;
    double requestLogSample = 0;  // part of the requests that are logged
    std::size_t passedKept =
        16384;  // answers that may be reported wrong: some seconds of a busy gateway

    int zoneNo(const std::string &name) const;  // 0 for one that is not named
};

// Its place among the shares. One that is not named is past their end: it has none, and no excess
// either.
int tenantIndex(const std::vector<std::string> &tenants, std::string_view name);

struct ParsedSettings {
    std::optional<GatewaySettings> settings;  // empty where anything is refused
    std::vector<Refusal> refused;
};

const nlohmann::json &settingsSchema();
// Checks the whole document, by schema and then against the rules, and says all that is wrong with
// it.
ParsedSettings parseSettings(const nlohmann::json &document);
// Whether both give the module the same start, so that one can follow the other without a new
// record.
bool sameModule(const nlohmann::json &a, const nlohmann::json &b);

}  // namespace deckcart
