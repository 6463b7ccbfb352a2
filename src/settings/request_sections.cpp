// Readers of the sections on requests and connections: gateway, limits, upstream, routes, headers.
#include <algorithm>
#include <cctype>
#include <set>

#include "settings_reader.hpp"

namespace deckcart::settings {
namespace {

using nlohmann::json;

constexpr std::array kIdempotencies{
    EnumName<Idempotency>{"retriable", Idempotency::idempotent},
    EnumName<Idempotency>{"deduped", Idempotency::withKey},
    EnumName<Idempotency>{"non-retriable", Idempotency::nonIdempotent},
};
constexpr std::array kDeduplicationScopes{
    EnumName<DeduplicationScope>{"all", DeduplicationScope::all},
    EnumName<DeduplicationScope>{"zone", DeduplicationScope::zone},
    EnumName<DeduplicationScope>{"cell", DeduplicationScope::cell},
};

/// A route as the request handling (`rule`) and the decision module (`route`) use it.
struct ParsedRoute {
    std::string path;  ///< JSON pointer to the route
    const json &document;
    RouteRule rule;
    Route route;
};

ParsedRoute readRoute(const json &document, std::size_t index) {
    ParsedRoute parsed{elementPath("/routes", index), document, {}, {}};
    readField(document, "name", parsed.rule.name);
    readField(document, "method", parsed.rule.method);
    readField(document, "pathPrefix", parsed.rule.pathPrefix);
    readField(document, "routeTimeoutMs", parsed.rule.routeTimeout);
    readField(document, "latencyObjectiveMs", parsed.route.latencyObjective);
    readEnum(document, "effect", kIdempotencies, parsed.route.idempotency);
    readEnum(document, "group", kDeduplicationScopes, parsed.route.deduplicationScope);
    readField(document, "repeatWindowMs", parsed.route.deduplicationWindow);
    return parsed;
}

void checkTimeouts(SettingsReader &reader, const ParsedRoute &parsed) {
    if (parsed.route.latencyObjective > parsed.rule.routeTimeout)
        reader.refuse(
            parsed.path + "/latencyObjectiveMs",
            "must not exceed routeTimeoutMs of the route: a response within the objective could "
            "be too late for the client");
    if (parsed.rule.routeTimeout <= 2 * reader.settings.responseMargin)
        reader.refuse(
            parsed.path + "/routeTimeoutMs",
            "must be more than twice /limits/answerMarginMs: no time would be left for an attempt");
}

void checkDeduplication(SettingsReader &reader, const ParsedRoute &parsed) {
    const bool withKey = parsed.route.idempotency == Idempotency::withKey;
    if (withKey && parsed.route.deduplicationWindow <= Duration{0})
        reader.refuse(
            parsed.path + "/repeatWindowMs",
            "is required for a deduped route: once this time has passed, a repeated request "
            "would be executed again");
    if (!withKey &&
        (parsed.document.contains("repeatWindowMs") || parsed.document.contains("group")))
        reader.refuse(
            parsed.path,
            "repeatWindowMs and group are allowed for deduped routes only: on other routes, "
            "endpoints don't drop repeated requests");
}

/// Refuses a route with the name of an earlier one, and a route whose requests all match an earlier
/// one: a request belongs to the first route that matches it, so the later one would never be used.
void checkReachable(SettingsReader &reader, const ParsedRoute &parsed) {
    for (std::size_t index = 0; index < reader.settings.routes.size(); ++index) {
        const RouteRule &earlier = reader.settings.routes[index];
        const std::string earlierPath = elementPath("/routes", index);
        if (earlier.name == parsed.rule.name)
            reader.refuse(parsed.path + "/name",
                          "is used by " + earlierPath + " already: names must be unique");
        const bool matchesMethod = earlier.method.empty() || earlier.method == parsed.rule.method;
        if (matchesMethod && parsed.rule.pathPrefix.starts_with(earlier.pathPrefix))
            reader.refuse(parsed.path, "is never matched: " + earlierPath +
                                           " matches all of its requests first");
    }
}

struct HeaderField {
    const char *name;
    std::string HeaderNames::*value;
};
constexpr std::array kHeaderFields{
    HeaderField{"key", &HeaderNames::key},
    HeaderField{"account", &HeaderNames::tenant},
    HeaderField{"remaining", &HeaderNames::remainingTime},
    HeaderField{"reqId", &HeaderNames::requestId},
    HeaderField{"full", &HeaderNames::overloaded},
    HeaderField{"load", &HeaderNames::load},
};

/// Whether the text has only characters of a token (RFC 9110, section 5.6.2).
bool isToken(const std::string &text) {
    constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
    return std::ranges::all_of(text, [&](char character) {
        return std::isalnum(static_cast<unsigned char>(character)) ||
               kPunctuation.find(character) != std::string_view::npos;
    });
}

void checkHeader(SettingsReader &reader, std::size_t index) {
    const HeaderNames &headers = reader.settings.headers;
    const HeaderField &field = kHeaderFields.at(index);
    const std::string &value = headers.*field.value;
    const std::string path = std::string("/headers/") + field.name;
    if (!isToken(value))
        reader.refuse(path, "is not a valid field name: must be a token (RFC 9110, section 5.1)");
    if (!http::travels({}, value))
        reader.refuse(path, "is a hop-by-hop field, which is never forwarded");
    for (std::size_t otherIndex = 0; otherIndex < index; ++otherIndex) {
        const HeaderField &other = kHeaderFields.at(otherIndex);
        if (http::equalFieldNames(headers.*other.value, value))
            reader.refuse(path, std::string("has the same name as /headers/") + other.name +
                                    ": names must be unique, ignoring case");
    }
}

}  // namespace

void readGateway(SettingsReader &reader) {
    GatewaySettings &settings = reader.settings;
    const json &section = reader.section("gateway");
    readField(section, "id", settings.id);
    readField(section, "count", settings.policy.gateways);
    readField(reader.document, "zones", settings.zones);
    const std::set<std::string> distinctZones(settings.zones.begin(), settings.zones.end());
    if (distinctZones.size() != settings.zones.size())
        reader.refuse("/zones", "names must be unique");
    settings.policy.zone = reader.readZone(section, "/gateway");
}

void readLimits(SettingsReader &reader) {
    GatewaySettings &settings = reader.settings;
    http::ListenerLimits &listener = settings.listener;
    const json &section = reader.section("limits");
    readField(section, "clientConnections", listener.connections);
    readField(section, "reqsInHand", settings.maxRequestsInFlight);
    readField(section, "headBytes", listener.headBytes);
    readField(section, "bodyBytes", listener.bodyBytes);
    readField(section, "pipelinedBytes", listener.pipelinedBytes);
    readField(section, "waitingBytes", listener.waitingBytes);
    readField(section, "messageWithinMs", listener.messageWithin);
    readField(section, "clientIdleMs", listener.idleFor);
    readField(section, "slowPeerMs", listener.slowPeerFor);
    readField(section, "answerMarginMs", settings.responseMargin);
    readField(section, "standstillMs", settings.stallThreshold);
}

void readUpstream(SettingsReader &reader) {
    UpstreamLimits &upstream = reader.settings.upstream;
    const json &section = reader.section("upstream");
    readField(section, "connections", upstream.maxConnectionsPerEndpoint);
    readField(section, "connectWithinMs", upstream.connectTimeout);
    readField(section, "idleMs", upstream.idleTimeout);
    readField(section, "stalledMs", upstream.streamStallTimeout);
    readField(section, "heldAnswerBytes", upstream.bufferedResponseBytes);
    readField(section, "probeWithinMs", upstream.probeTimeout);
    readField(section, "probePath", upstream.probePath);
    reader.settings.policy.maxSendDelay = upstream.connectTimeout;
}

void readRoutes(SettingsReader &reader) {
    const json &routes = reader.document.at("routes");
    for (std::size_t index = 0; index < routes.size(); ++index) {
        const ParsedRoute parsed = readRoute(routes[index], index);
        checkTimeouts(reader, parsed);
        checkDeduplication(reader, parsed);
        checkReachable(reader, parsed);
        reader.settings.routes.push_back(parsed.rule);
        reader.settings.policy.routes.push_back(parsed.route);
    }
}

void readHeaders(SettingsReader &reader) {
    const json &section = reader.section("headers");
    for (std::size_t index = 0; index < kHeaderFields.size(); ++index) {
        const HeaderField &field = kHeaderFields.at(index);
        readField(section, field.name, reader.settings.headers.*field.value);
        checkHeader(reader, index);
    }
}

}  // namespace deckcart::settings
