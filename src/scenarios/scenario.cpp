#include "scenario.hpp"

#include <algorithm>

namespace deckcart::scenarios {
namespace {

using nlohmann::json;

const std::vector<std::pair<const char *, FaultKind>> kFaultKinds = {
    {"hang", FaultKind::hang},
    {"crash", FaultKind::crash},
    {"drain", FaultKind::drain},
    {"answers-lost", FaultKind::responsesLost},
    {"slow-connects", FaultKind::slowConnects},
    {"neighbour", FaultKind::noisyNeighbor},
    {"pauses", FaultKind::pauses},
    {"fleet-slow", FaultKind::allSlow},
    {"list-late", FaultKind::listDelayed},
    {"list-fails", FaultKind::listFails},
    {"desk-still", FaultKind::votesUnanswered},
    {"gateway-killed", FaultKind::gatewayKilled},
    {"gateway-stalled", FaultKind::gatewayStalled},
    {"burst", FaultKind::burst},
    {"heedless", FaultKind::retryStorm},
    {"low-reports", FaultKind::lowLoadReports},
    {"probes-fail", FaultKind::probesFail},
    {"names-silent", FaultKind::nameServersSilent},
    {"names-lossy", FaultKind::nameServersLossy},
    {"names-contradict", FaultKind::nameServersContradict}};

const std::vector<std::pair<const char *, BuildFault>> kBuildFaults = {
    {"fails", BuildFault::fails},
    {"slow", BuildFault::slow},
    {"busy", BuildFault::slowWhenBusy},
    {"later", BuildFault::failsLater},
    {"wrong", BuildFault::incorrectResponses},
    {"slows-all", BuildFault::slowsAllBuilds}};

Duration readDuration(const json &object, const char *name, double defaultMs) {
    return Duration{std::llround(object.value(name, defaultMs) * 1000)};
}
const json &objectOrEmpty(const json &object, const char *name) {
    static const json none = json::object();
    const auto it = object.find(name);
    return it == object.end() ? none : *it;
}
json namesOf(const auto &table) {
    json names = json::array();
    for (const auto &[name, value] : table)
        names.push_back(name);
    return names;
}

}  // namespace

const json &scenarioSchema() {
    static const json schema = [] {
        json document = json::parse(R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "A fault scenario; times in milliseconds since its start",
  "definitions": {
    "ms": {"type": "number", "minimum": 0, "maximum": 600000},
    "part": {"type": "number", "minimum": 0, "maximum": 1},
    "word": {"type": "string", "minLength": 1, "maxLength": 200}
  },
  "type": "object", "additionalProperties": false,
  "required": ["name", "lastsMs", "gateways", "instances", "traffic"],
  "properties": {
    "name": {"$ref": "#/definitions/word"}, "words": {"$ref": "#/definitions/word"},
    "lastsMs": {"type": "number", "minimum": 1000, "maximum": 600000},
    "seed": {"type": "integer", "minimum": 0},
    "gateways": {"type": "object", "additionalProperties": false, "required": ["weights"], "properties": {
      "weights": {"type": "array", "minItems": 1, "maxItems": 32, "items": {"type": "number", "exclusiveMinimum": 0}},
      "told": {"type": "integer", "minimum": 1, "maximum": 65536}}},
    "instances": {"type": "object", "additionalProperties": false, "required": ["count"], "properties": {
      "count": {"type": "integer", "minimum": 1, "maximum": 64},
      "cores": {"type": "integer", "minimum": 1, "maximum": 64},
      "queue": {"type": "integer", "minimum": 0, "maximum": 10000},
      "zones": {"type": "array", "minItems": 1, "maxItems": 8, "items": {"$ref": "#/definitions/word"}},
      "coldFrom": {"type": "number", "exclusiveMinimum": 0, "maximum": 1}, "warmWithinMs": {"$ref": "#/definitions/ms"},
      "tipMultiple": {"type": "number", "minimum": 1, "maximum": 100}, "overloadForMs": {"$ref": "#/definitions/ms"}}},
    "names": {"type": "object", "additionalProperties": false, "required": ["servers"], "properties": {
      "servers": {"type": "integer", "minimum": 1, "maximum": 4},
      "lifetimeMs": {"type": "integer", "minimum": 1000, "maximum": 60000},
      "confirmAfterMs": {"$ref": "#/definitions/ms"}}},
    "traffic": {"type": "object", "additionalProperties": false, "required": ["reqsPerS", "routes"], "properties": {
      "reqsPerS": {"type": "number", "exclusiveMinimum": 0, "maximum": 5000},
      "keys": {"type": "integer", "minimum": 1, "maximum": 1000000},
      "retries": {"type": "integer", "minimum": 0, "maximum": 1},
      "leastPatience": {"type": "number", "minimum": 0.1, "maximum": 1},
      "accounts": {"type": "array", "minItems": 1, "items": {
        "type": "object", "additionalProperties": false, "required": ["name", "share"],
        "properties": {"name": {"$ref": "#/definitions/word"}, "share": {"$ref": "#/definitions/part"}}}},
      "routes": {"type": "array", "minItems": 1, "maxItems": 16, "items": {
        "type": "object", "additionalProperties": false,
        "required": ["name", "effect", "latencyObjectiveMs", "routeTimeoutMs", "workMs"], "properties": {
          "name": {"type": "string", "pattern": "^[a-z0-9-]+$"}, "method": {"type": "string", "pattern": "^[A-Z]+$"},
          "effect": {"enum": ["retriable", "deduped", "non-retriable"]}, "repeatWindowMs": {"$ref": "#/definitions/ms"},
          "latencyObjectiveMs": {"$ref": "#/definitions/ms"}, "routeTimeoutMs": {"$ref": "#/definitions/ms"},
          "share": {"type": "number", "exclusiveMinimum": 0}, "benefit": {"type": "number", "exclusiveMinimum": 0},
          "workMs": {"type": "array", "minItems": 2, "maxItems": 2,
                     "items": {"type": "number", "exclusiveMinimum": 0, "maximum": 10000}}}}}}},
    "allowed": {"type": "object"},
    "release": {"type": "object", "additionalProperties": false, "required": ["atMs"], "properties": {
      "atMs": {"$ref": "#/definitions/ms"}, "toAdvance": {"type": "integer", "minimum": 1},
      "votesToGoBack": {"type": "integer", "minimum": 1}, "leastStageMs": {"$ref": "#/definitions/ms"},
      "newsDelayMs": {"type": "array", "minItems": 2, "maxItems": 2, "items": {"$ref": "#/definitions/ms"}},
      "drainGraceMs": {"$ref": "#/definitions/ms"}, "exposureSpanMs": {"$ref": "#/definitions/ms"},
      "voteLifeMs": {"$ref": "#/definitions/ms"}, "spareTries": {"type": "number", "minimum": 0},
      "caps": {"type": "array", "minItems": 1, "items": {"$ref": "#/definitions/part"}},
      "shares": {"type": "array", "minItems": 1, "items": {"$ref": "#/definitions/part"}},
      "exposurePerRoute": {"type": "boolean"}, "keysStay": {"type": "boolean"},
      "replacedInPlace": {"type": "boolean"}, "guardedStages": {"type": "integer", "minimum": 0},
      "wrongReported": {"$ref": "#/definitions/part"}, "tallies": {"type": "boolean"},
      "shouldRelease": {"type": "boolean"},
      "bad": {"type": "object", "additionalProperties": false, "required": ["kind"], "properties": {
        "kind": {}, "route": {"$ref": "#/definitions/word"}, "part": {"$ref": "#/definitions/part"},
        "times": {"type": "number", "minimum": 1, "maximum": 100}, "afterMs": {"$ref": "#/definitions/ms"}}}}},
    "troubles": {"type": "array", "maxItems": 64, "items": {
      "type": "object", "additionalProperties": false, "required": ["kind", "atMs"], "properties": {
        "kind": {}, "atMs": {"$ref": "#/definitions/ms"}, "lastsMs": {"$ref": "#/definitions/ms"},
        "count": {"type": "integer", "minimum": 1, "maximum": 64}, "where": {"enum": ["any", "trial", "earlier"]},
        "times": {"type": "number", "minimum": 1, "maximum": 100}, "part": {"$ref": "#/definitions/part"},
        "votesCount": {"type": "boolean"}}}}
  }
})json");
        document["properties"]["troubles"]["items"]["properties"]["kind"]["enum"] =
            namesOf(kFaultKinds);
        document["properties"]["release"]["properties"]["bad"]["properties"]["kind"]["enum"] =
            namesOf(kBuildFaults);
        return document;
    }();
    return schema;
}

int Scenario::routeIndex(const std::string &wanted) const {
    const auto found = std::ranges::find(routes, wanted, &ScenarioRoute::name);
    return found == routes.end() ? -1 : int(found - routes.begin());
}

ParsedScenario parseScenario(const json &document) {
    ParsedScenario result;
    result.refused = checkSchema(scenarioSchema(), document);
    if (!result.refused.empty())
        return result;
    const auto refuse = [&](const std::string &path, const std::string &reason) {
        result.refused.push_back({path, reason});
    };
    Scenario scenario;
    scenario.name = document.at("name"),
    scenario.description = document.value("words", std::string{});
    scenario.duration = readDuration(document, "lastsMs", 0),
    scenario.seed = document.value("seed", std::uint64_t{1});
    document.at("gateways").at("weights").get_to(scenario.gatewayWeights);
    scenario.configuredGatewayCount =
        document.at("gateways").value("told", int(scenario.gatewayWeights.size()));
    if (scenario.configuredGatewayCount < int(scenario.gatewayWeights.size()))
        refuse("/gateways/told", "is less than the number of /gateways/weights");
    const json &endpoints = document.at("instances");
    scenario.endpointCount = endpoints.at("count"),
    scenario.cores = endpoints.value("cores", scenario.cores),
    scenario.queueLimit = endpoints.value("queue", scenario.queueLimit);
    scenario.zones = endpoints.value("zones", std::vector<std::string>{"a"});
    scenario.initialCapacity = endpoints.value("coldFrom", scenario.initialCapacity),
    scenario.overloadMultiple = endpoints.value("tipMultiple", scenario.overloadMultiple);
    scenario.warmUpTime = readDuration(endpoints, "warmWithinMs", 4000),
    scenario.overloadWindow = readDuration(endpoints, "overloadForMs", 2000);
    const json &nameServers = objectOrEmpty(document, "names");
    scenario.nameServers = nameServers.value("servers", 0),
    scenario.recordLifetime = readDuration(nameServers, "lifetimeMs", 1000);
    scenario.confirmAfter = readDuration(nameServers, "confirmAfterMs", 500);
    const json &traffic = document.at("traffic");
    scenario.requestsPerSecond = traffic.at("reqsPerS"),
    scenario.keyCount = traffic.value("keys", scenario.keyCount),
    scenario.maxRetries = traffic.value("retries", scenario.maxRetries);
    scenario.minPatience = traffic.value("leastPatience", scenario.minPatience);
    for (const auto &entry : traffic.value("accounts", json::array()))
        scenario.tenants.push_back(entry.at("name")),
            scenario.tenantQuotas.push_back(entry.at("share"));
    for (const auto &entry : traffic.at("routes")) {
        ScenarioRoute route;
        route.name = entry.at("name"), route.method = entry.value("method", std::string("POST"));
        const std::string effect = entry.at("effect");
        route.rule.idempotency = effect == "retriable" ? Idempotency::idempotent
                                 : effect == "deduped" ? Idempotency::withKey
                                                       : Idempotency::nonIdempotent;
        route.rule.latencyObjective = readDuration(entry, "latencyObjectiveMs", 0),
        route.routeTimeout = readDuration(entry, "routeTimeoutMs", 0);
        route.rule.deduplicationWindow = readDuration(entry, "repeatWindowMs", 0);
        route.share = entry.value("share", 1.0), route.benefit = entry.value("benefit", 1.0);
        route.minWorkMs = entry.at("workMs")[0], route.maxWorkMs = entry.at("workMs")[1];
        if (route.minWorkMs > route.maxWorkMs)
            refuse("/traffic/routes/" + std::to_string(scenario.routes.size()) + "/workMs",
                   "falls");
        scenario.routes.push_back(std::move(route));
    }
    scenario.allowed = document.value("allowed", json::object());
    scenario.hedgingAllowed = scenario.allowed.value("copies", false),
    scenario.maxAttempts = scenario.allowed.value("mostTries", 4);
    const json &release = objectOrEmpty(document, "release");
    if (release.contains("atMs"))
        scenario.rolloutAt = readDuration(release, "atMs", 0);
    scenario.exposureLimits = release.value("caps", std::vector<double>{0.1, 0.4, 1}),
    scenario.stageShares = release.value("shares", scenario.exposureLimits);
    scenario.exposureAllowance = release.value("spareTries", 2.0),
    scenario.exposureWindow = readDuration(release, "exposureSpanMs", 4000);
    scenario.voteLifetime = readDuration(release, "voteLifeMs", 6000),
    scenario.minStageDuration = readDuration(release, "leastStageMs", 1500);
    scenario.drainGrace = readDuration(release, "drainGraceMs", 500);
    const auto delayMs = release.value("newsDelayMs", std::vector<double>{50, 300});
    scenario.minNotificationDelay = Duration{std::llround(delayMs[0] * 1000)},
    scenario.maxNotificationDelay = Duration{std::llround(delayMs[1] * 1000)};
    scenario.exposurePerRoute = release.value("exposurePerRoute", false),
    scenario.stickyKeys = release.value("keysStay", false);
    scenario.inPlace = release.value("replacedInPlace", false),
    scenario.idempotentOnlyStages = release.value("guardedStages", 0);
    scenario.votesToRollBack = release.value("votesToGoBack", 1),
    scenario.votesToPromote = release.value("toAdvance", 2);
    scenario.incorrectReportRate = release.value("wrongReported", 0.0),
    scenario.usageReports = release.value("tallies", false);
    if (scenario.exposureLimits.size() != scenario.stageShares.size())
        refuse("/release/shares", "has a different number of stages than /release/caps");
    if (scenario.votesToPromote > int(scenario.gatewayWeights.size()))
        refuse("/release/toAdvance", "is greater than the number of gateways");
    if (const auto fault = release.find("bad"); fault != release.end()) {
        const std::string kind = fault->at("kind");
        for (const auto &[name, value] : kBuildFaults)
            if (kind == name)
                scenario.buildFault.kind = value;
        if (fault->contains("route") &&
            (scenario.buildFault.route = scenario.routeIndex(fault->at("route"))) < 0)
            refuse("/release/bad/route", "is not a route of /traffic/routes");
        scenario.buildFault.fraction = fault->value("part", 0.5),
        scenario.buildFault.factor = fault->value("times", 3.0);
        scenario.buildFault.faultFreeTime = readDuration(*fault, "afterMs", 0);
    }
    scenario.shouldRelease =
        release.value("shouldRelease", scenario.buildFault.kind == BuildFault::none);
    const json injectedFaults = document.value("troubles", json::array());
    for (std::size_t index = 0; index < injectedFaults.size(); ++index) {
        const json &entry = injectedFaults[index];
        InjectedFault injected;
        const std::string kind = entry.at("kind");
        for (const auto &[name, value] : kFaultKinds)
            if (kind == name)
                injected.kind = value;
        injected.at = readDuration(entry, "atMs", 0),
        injected.duration = readDuration(entry, "lastsMs", 0),
        injected.count = entry.value("count", 1);
        injected.target = entry.value("where", std::string("any"));
        injected.factor = entry.value("times", 2.0), injected.fraction = entry.value("part", 0.5);
        injected.votesCount = entry.value("votesCount", false);
        const bool needsNameServers = injected.kind == FaultKind::nameServersSilent ||
                                      injected.kind == FaultKind::nameServersLossy ||
                                      injected.kind == FaultKind::nameServersContradict;
        if (needsNameServers && scenario.nameServers == 0)
            refuse("/troubles/" + std::to_string(index) + "/kind", "needs /names");
        if (injected.at + injected.duration > scenario.duration)
            refuse("/troubles/" + std::to_string(index), "ends after the scenario");
        scenario.injectedFaults.push_back(injected);
    }
    if (result.refused.empty())
        result.day = std::move(scenario);
    return result;
}

std::string srvNameOf(BuildNumber build, const std::string &zone) {
    return "_relay._tcp.b" + std::to_string(build) + "." + zone + ".example.org.";
}

json settingsOf(const Scenario &scenario, int gateway, const std::string &controlPlaneAddress,
                const std::vector<std::string> &nameServers) {
    const auto toMs = [](Duration duration) { return duration.count() / 1000; };
    json routes = json::array(), tenants = json::array();
    for (const auto &route : scenario.routes) {
        const char *effect = route.rule.idempotency == Idempotency::idempotent ? "retriable"
                             : route.rule.idempotency == Idempotency::withKey  ? "deduped"
                                                                               : "non-retriable";
        json entry{{"name", route.name},
                   {"method", route.method},
                   {"effect", effect},
                   {"pathPrefix", "/" + route.name},
                   {"latencyObjectiveMs", toMs(route.rule.latencyObjective)},
                   {"routeTimeoutMs", toMs(route.routeTimeout)}};
        if (route.rule.idempotency == Idempotency::withKey)
            entry["repeatWindowMs"] = toMs(route.rule.deduplicationWindow);
        routes.push_back(std::move(entry));
    }
    for (std::size_t index = 0; index < scenario.tenants.size(); ++index)
        tenants.push_back(
            {{"name", scenario.tenants[index]}, {"share", scenario.tenantQuotas[index]}});
    json settings{{"gateway",
                   {{"id", "g" + std::to_string(gateway)},
                    {"count", scenario.configuredGatewayCount},
                    {"zone", scenario.zones[std::size_t(gateway) % scenario.zones.size()]},
                    {"seed", scenario.seed * 1000 + std::uint64_t(gateway)}}},
                  {"zones", scenario.zones},
                  {"desk", {{"address", controlPlaneAddress}}},
                  {"routes", std::move(routes)},
                  {"allowed", scenario.allowed},
                  {"rules",
                   {{"coldFrom", scenario.initialCapacity},
                    {"warmWithinMs", toMs(scenario.warmUpTime)},
                    {"tipMultiple", scenario.overloadMultiple},
                    {"overloadForMs", toMs(scenario.overloadWindow)}}},
                  {"release",
                   {{"replacedInPlace", scenario.inPlace},
                    {"exposurePerRoute", scenario.exposurePerRoute},
                    {"keysStay", scenario.stickyKeys},
                    {"guardedStages", scenario.idempotentOnlyStages},
                    {"spareTries", scenario.exposureAllowance},
                    {"exposureSpanMs", toMs(scenario.exposureWindow)},
                    {"caps", scenario.exposureLimits},
                    {"shares", scenario.stageShares},
                    {"voteLifeMs", toMs(scenario.voteLifetime)},
                    {"votesToGoBack", scenario.votesToRollBack},
                    {"wrongReported", scenario.incorrectReportRate}}}};
    if (!tenants.empty())
        settings["accounts"] = std::move(tenants);
    if (!nameServers.empty()) {
        json srvNames = json::array();
        for (const BuildNumber build : {1, 2})
            for (const auto &zone : scenario.zones)
                srvNames.push_back(
                    {{"name", srvNameOf(build, zone)}, {"build", build}, {"zone", zone}});
        settings["sources"] = {{"deskList", false},
                               {"srv",
                                {{"names", srvNames},
                                 {"servers", nameServers},
                                 {"lifetimeFloorMs", toMs(scenario.recordLifetime) / 2}}},
                               {"confirmAfterMs", toMs(scenario.confirmAfter)},
                               {"graceMs", toMs(scenario.drainGrace) + 1}};
    }
    return settings;
}

}  // namespace deckcart::scenarios
