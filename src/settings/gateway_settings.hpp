// Settings of a gateway: types, JSON schema and validation. Operators set them as one JSON document
// by PUT /v1/settings, and the document is stored as received. Times in the document are whole
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

/// Assigns requests to a route: a request belongs to the first rule whose method and path prefix
/// match.
struct RouteRule {
    std::string name;
    std::string method;  ///< empty: any method
    std::string pathPrefix;
    Duration routeTimeout{};  ///< time after which the client gives up
};

/// The names of the HTTP fields that carry input of the decision module.
struct HeaderNames {
    std::string key = "X-Key";         ///< affinity and idempotency key
    std::string tenant = "X-Account";  ///< tenant whose quota the request counts against
    std::string remainingTime = "X-Remaining-Ms";  ///< milliseconds until the client gives up
    std::string requestId = "X-Request-Id";        ///< request id chosen by the client
    std::string overloaded = "X-Instance-Full";    ///< in a response: the endpoint is overloaded
    std::string load = "X-Load";                   ///< in the response to a probe: the load report
};

/// How the control plane is reached over HTTP.
struct ControlPlaneSettings {
    asio::ip::tcp::endpoint address;
    Duration listTimeout{};  ///< timeout of a list call; for votes see PolicySettings::voteTimeout
    Duration watchSilenceTimeout{};  ///< a watch without a line for this long has failed
};

/// Limits on connections and calls to endpoints.
struct UpstreamLimits {
    /// Per endpoint; an attempt beyond this number counts as a failed connect.
    std::size_t maxConnectionsPerEndpoint = 256;
    Duration connectTimeout = std::chrono::milliseconds(250);
    Duration idleTimeout = std::chrono::seconds(15);  ///< an idle connection is kept for this long
    /// In bytes. A response up to this size is forwarded only once it is complete, so that the
    /// client never gets a truncated one.
    std::size_t bufferedResponseBytes = std::size_t{64} * 1024;
    /// The longest pause in a response that has begun.
    Duration streamStallTimeout = std::chrono::seconds(10);
    Duration probeTimeout = std::chrono::milliseconds(500);
    std::string probePath = "/probe";
};

/// The sources that the endpoint list is merged from. Without these settings, the control plane's
/// list is used as received.
struct SourceSettings {
    membership::MergeRules merge;
    std::vector<membership::Claim> staticEndpoints;  ///< listed in the settings document
    std::vector<membership::SrvName> srvNames;       ///< looked up by DNS
    dns::ResolverSettings resolver;                  ///< for `srvNames`
};

/// All settings of one gateway.
struct GatewaySettings {
    std::string id = "gateway";
    PolicySettings policy;  ///< all but the seed, which is drawn at each start
    std::vector<RouteRule> routes;
    std::vector<std::string> tenants;  ///< in the order of policy.tenantQuotas
    std::vector<std::string> zones;    ///< names; a zone's number is its index
    HeaderNames headers;
    http::ListenerLimits listener;
    std::size_t maxRequestsInFlight = 4096;
    /// Retry-After of a request that is rejected because of maxRequestsInFlight.
    Duration rejectedRetryAfter = std::chrono::seconds(1);
    /// Final responses are due this long before the client's deadline.
    Duration responseMargin = std::chrono::milliseconds(30);
    /// A turn of the event loop that is late by more than this counts as a stall of the process.
    Duration stallThreshold = std::chrono::milliseconds(200);
    UpstreamLimits upstream;
    std::optional<ControlPlaneSettings> controlPlane;
    std::optional<SourceSettings> sources;
    double requestLogSample = 0;  ///< fraction of the requests that is logged, 0 to 1
    /// Number of the latest responses that can still be reported as incorrect: some seconds of
    /// traffic of a busy gateway.
    std::size_t responseHistorySize = 16384;

    /// 0 for a name that is not in `zones`.
    [[nodiscard]] int zoneIndex(const std::string &name) const;
};

/// A tenant's index among the quotas. A tenant that isn't listed gets an index past their end: it
/// has no quota and never counts as over quota. 0 for every name if no tenants are listed.
[[nodiscard]] int tenantIndex(const std::vector<std::string> &tenants, std::string_view name);

/// The result of parsing a settings document.
struct ParsedSettings {
    std::optional<GatewaySettings> settings;  ///< empty if anything was refused
    std::vector<ValidationError> refused;     ///< each with the path of the field
};

/// The JSON schema (draft 7) of the settings document.
[[nodiscard]] const nlohmann::json &settingsSchema();
/// Validates a document against the schema and then, if it matches the schema, against the rules on
/// its values. Reports all violations that it finds. Doesn't throw for an invalid document.
[[nodiscard]] ParsedSettings parseSettings(const nlohmann::json &document);
/// Whether both documents give the decision module the same settings, so that one can replace the
/// other without restarting the module.
[[nodiscard]] bool samePolicySettings(const nlohmann::json &left, const nlohmann::json &right);

}  // namespace deckcart
