// The sections on requests and connections: gateway, limits, upstream, routes, headers.
#include <algorithm>
#include <cctype>
#include <set>

#include "settings_reader.hpp"

namespace deckcart::settings {
namespace {

using nlohmann::json;

constexpr std::array kIdempotencies{
    Word<Idempotency>{"retriable", Idempotency::idempotent},
    Word<Idempotency>{"deduped", Idempotency::withKey},
    Word<Idempotency>{"non-retriable", Idempotency::nonIdempotent},
};
constexpr std::array kDeduplicationScopes{
    Word<DeduplicationScope>{"all", DeduplicationScope::all},
    Word<DeduplicationScope>{"zone", DeduplicationScope::zone},
    Word<DeduplicationScope>{"cell", DeduplicationScope::cell},
};

/// A route as both sides of the gateway see it, and where it stands.
struct ReadRoute {
    std::string path;
    const json &document;
    RouteRule rule;
    Route route;
};

ReadRoute readRoute(const json &document, std::size_t index) {
    ReadRoute read{elementPath("/routes", index), document, {}, {}};
    readField(document, "name", read.rule.name);
    readField(document, "method", read.rule.method);
    readField(document, "pathPrefix", read.rule.pathPrefix);
    readField(document, "routeTimeoutMs", read.rule.routeTimeout);
    readField(document, "latencyObjectiveMs", read.route.latencyObjective);
    readWord(document, "effect", kIdempotencies, read.route.idempotency);
    readWord(document, "group", kDeduplicationScopes, read.route.deduplicationScope);
    readField(document, "repeatWindowMs", read.route.deduplicationWindow);
    return read;
}

void checkTimes(SettingsReader &reader, const ReadRoute &read) {
    if (read.route.latencyObjective > read.rule.routeTimeout)
        reader.refuse(read.path + "/latencyObjectiveMs",
                      "is over the route timeout: no answer would come in time");
    if (read.rule.routeTimeout <= 2 * reader.settings.answerMargin)
        reader.refuse(read.path + "/routeTimeoutMs",
                      "is not over twice /limits/answerMarginMs: no time is left for a try");
}

void checkDeduplication(SettingsReader &reader, const ReadRoute &read) {
    const bool withKey = read.route.idempotency == Idempotency::withKey;
    if (withKey && read.route.deduplicationWindow <= Duration{0})
        reader.refuse(read.path + "/repeatWindowMs",
                      "is needed for a deduped route: after it a repeat would run twice");
    if (!withKey && (read.document.contains("repeatWindowMs") || read.document.contains("group")))
        reader.refuse(
            read.path,
            "repeatWindowMs and group are for deduped routes only: nothing drops its repeats");
}

/// A request belongs to the first rule that fits it, so none may stand behind one that takes all
/// of its requests.
void checkReached(SettingsReader &reader, const ReadRoute &read) {
    for (std::size_t index = 0; index < reader.settings.routes.size(); ++index) {
        const RouteRule &earlier = reader.settings.routes[index];
        const std::string earlierPath = elementPath("/routes", index);
        if (earlier.name == read.rule.name)
            reader.refuse(read.path + "/name", "stands at " + earlierPath + " too");
        const bool takesMethod = earlier.method.empty() || earlier.method == read.rule.method;
        if (takesMethod && read.rule.pathPrefix.starts_with(earlier.pathPrefix))
            reader.refuse(read.path, "is never reached: " + earlierPath + " takes all of it first");
    }
}

struct HeaderField {
    const char *name;
    std::string HeaderNames::*value;
};
constexpr std::array kHeaderFields{
    HeaderField{"key", &HeaderNames::key},
    HeaderField{"account", &HeaderNames::tenant},
    HeaderField{"remaining", &HeaderNames::remaining},
    HeaderField{"reqId", &HeaderNames::requestId},
    HeaderField{"full", &HeaderNames::full},
    HeaderField{"load", &HeaderNames::load},
};

/// A token of RFC 9110, 5.6.2.
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
        reader.refuse(path, "is no field name (RFC 9110, 5.1)");
    if (!http::travels({}, value))
        reader.refuse(path, "is a field of one connection and never passed on");
    for (std::size_t before = 0; before < index; ++before) {
        const HeaderField &other = kHeaderFields.at(before);
        if (http::equalFieldNames(headers.*other.value, value))
            reader.refuse(path, std::string("is the name of /headers/") + other.name + " too");
    }
}

}  // namespace

void readGateway(SettingsReader &reader) {
    GatewaySettings &settings = reader.settings;
    const json &from = reader.section("gateway");
    readField(from, "id", settings.id);
    readField(from, "count", settings.module.gateways);
    readField(reader.document, "zones", settings.zones);
    const std::set<std::string> different(settings.zones.begin(), settings.zones.end());
    if (different.size() != settings.zones.size())
        reader.refuse("/zones", "a name stands twice");
    settings.module.zone = reader.zone(from, "/gateway");
}

void readLimits(SettingsReader &reader) {
    GatewaySettings &settings = reader.settings;
    http::ListenerLimits &listener = settings.listener;
    const json &from = reader.section("limits");
    readField(from, "clientConnections", listener.connections);
    readField(from, "reqsInHand", settings.maxRequestsInFlight);
    readField(from, "headBytes", listener.headBytes);
    readField(from, "bodyBytes", listener.bodyBytes);
    readField(from, "pipelinedBytes", listener.pipelinedBytes);
    readField(from, "waitingBytes", listener.waitingBytes);
    readField(from, "messageWithinMs", listener.messageWithin);
    readField(from, "clientIdleMs", listener.idleFor);
    readField(from, "slowPeerMs", listener.slowPeerFor);
    readField(from, "answerMarginMs", settings.answerMargin);
    readField(from, "standstillMs", settings.standstill);
}

void readUpstream(SettingsReader &reader) {
    UpstreamLimits &upstream = reader.settings.upstream;
    const json &from = reader.section("upstream");
    readField(from, "connections", upstream.connections);
    readField(from, "connectWithinMs", upstream.connectWithin);
    readField(from, "idleMs", upstream.idleFor);
    readField(from, "stalledMs", upstream.streamStallTimeout);
    readField(from, "heldAnswerBytes", upstream.bufferedResponseBytes);
    readField(from, "probeWithinMs", upstream.probeWithin);
    readField(from, "probePath", upstream.probePath);
    reader.settings.module.maxSendDelay = upstream.connectWithin;
}

void readRoutes(SettingsReader &reader) {
    const json &routes = reader.document.at("routes");
    for (std::size_t index = 0; index < routes.size(); ++index) {
        const ReadRoute read = readRoute(routes[index], index);
        checkTimes(reader, read);
        checkDeduplication(reader, read);
        checkReached(reader, read);
        reader.settings.routes.push_back(read.rule);
        reader.settings.module.routes.push_back(read.route);
    }
}

void readHeaders(SettingsReader &reader) {
    const json &from = reader.section("headers");
    for (std::size_t index = 0; index < kHeaderFields.size(); ++index) {
        const HeaderField &field = kHeaderFields.at(index);
        readField(from, field.name, reader.settings.headers.*field.value);
        checkHeader(reader, index);
    }
}

}  // namespace deckcart::settings
