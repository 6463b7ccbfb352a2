// What operators set for a gateway, as one JSON document: its types, its schema, its check against
// the rules. Given by PUT /v1/settings; kept as the same document. Times in the document are whole
// milliseconds. The fields are documented for operators in docs/operate/gateway.md.
#pragma once

#include <asio/ip/tcp.hpp>
#include <deckcart/policy.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../base/schema.hpp"
#include "../dns/resolver.hpp"
#include "../http/server.hpp"
#include "../membership/claims.hpp"

namespace deckcart {

/// How requests are told apart. One belongs to the first rule whose method and path prefix fit.
struct RouteRule {
    std::string name;
    std::string method;  ///< empty: any
    std::string pathPrefix;
    Duration routeTimeout{};  ///< when the client gives up
};

/// The names of the HTTP fields that carry what the decision module wants to know.
struct HeaderNames {
    std::string key = "X-Key";                 ///< affinity and idempotency key
    std::string tenant = "X-Account";          ///< whose quota it counts against
    std::string remaining = "X-Remaining-Ms";  ///< what is left until the client gives up
    std::string requestId = "X-Request-Id";    ///< the client's own id of a request
    std::string full = "X-Instance-Full";      ///< of an answer: the endpoint is overloaded
    std::string load = "X-Load";               ///< of a probe's answer: the load report
};

/// The control plane, over HTTP.
struct ControlPlaneSettings {
    asio::ip::tcp::endpoint address;
    Duration answerWithin{};  ///< for a call that lists; votes have the module's own bound
    Duration silentFor{};     ///< a watch without a line for so long has failed
};

/// Bounds of the calls to endpoints.
struct UpstreamLimits {
    /// To one endpoint; an attempt beyond it counts as a failed connect.
    std::size_t connections = 256;
    Duration connectWithin = std::chrono::milliseconds(250);
    Duration idleFor = std::chrono::seconds(15);  ///< an idle connection is kept so long
    /// In bytes; a shorter answer is passed on whole, so that it can't be cut.
    std::size_t bufferedResponseBytes = std::size_t{64} * 1024;
    Duration streamStallTimeout =
        std::chrono::seconds(10);  ///< an answer that has begun may pause so long
    Duration probeWithin = std::chrono::milliseconds(500);
    std::string probePath = "/probe";
};

/// Where the endpoint list comes from. Without it, it is the control plane's alone, as received.
struct SourceSettings {
    membership::MergeRules merge;
    std::vector<membership::Claim> nodes;    ///< fixed in the document
    std::vector<membership::SrvName> names;  ///< looked up by DNS
    dns::ResolverSettings resolver;          ///< for those names
};

/// All values of one gateway.
struct GatewaySettings {
    std::string id = "gateway";
    PolicySettings module;  ///< but for the seed, which is drawn at each start
    std::vector<RouteRule> routes;
    std::vector<std::string> tenants;  ///< in the order of module.tenantQuotas
    std::vector<std::string> zones;    ///< their numbers are their places here
    HeaderNames headers;
    http::ListenerLimits listener;
    std::size_t maxRequestsInFlight = 4096;
    /// The Retry-After of a request that is refused over that bound.
    Duration rejectedRetryAfter = std::chrono::seconds(1);
    /// Final answers leave so long before the client's deadline.
    Duration answerMargin = std::chrono::milliseconds(30);
    /// A turn of the event loop that is late by more is taken for a process stall.
    Duration standstill = std::chrono::milliseconds(200);
    UpstreamLimits upstream;
    std::optional<ControlPlaneSettings> controlPlane;
    std::optional<SourceSettings> sources;
    double requestLogSample = 0;  ///< 0 to 1: the part of the requests that is logged
    /// Answers that may still be reported as incorrect: some seconds of a busy gateway.
    std::size_t responseHistorySize = 16384;

    /// 0 for a zone that is not named.
    [[nodiscard]] int zoneIndex(const std::string &name) const;
};

/// A tenant's place among the quotas. One that is not named is past their end: it has no quota, and
/// no excess either.
[[nodiscard]] int tenantIndex(const std::vector<std::string> &tenants, std::string_view name);

/// What a document was read as.
struct ParsedSettings {
    std::optional<GatewaySettings> settings;  ///< empty where anything is refused
    std::vector<Refusal> refused;             ///< each with its place
};

/// JSON Schema, draft 7.
[[nodiscard]] const nlohmann::json &settingsSchema();
/// Checks the whole document, by schema and then against the rules, and reports all that is wrong
/// with it. Throws nothing for a bad document.
[[nodiscard]] ParsedSettings parseSettings(const nlohmann::json &document);
/// Whether both give the decision module the same start, so that one can follow the other without a
/// new record.
[[nodiscard]] bool sameModule(const nlohmann::json &left, const nlohmann::json &right);

}  // namespace deckcart
