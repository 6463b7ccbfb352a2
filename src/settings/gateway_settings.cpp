// The settings document to values, and its check against the rules: each rule that two fields can
// break together is refused here, with the place of the field that has to give way.
#include "gateway_settings.hpp"

#include <algorithm>
#include <cctype>
#include <set>

#include "../base/address.hpp"

namespace deckcart {
namespace {

using nlohmann::json;

const json &part(const json &from, const char *name) {
    static const json none = json::object();
    const auto it = from.find(name);
    return it == from.end() ? none : *it;
}
template <class T>
void take(const json &from, const char *name, T &into) {
    if (const auto it = from.find(name); it != from.end())
        into = it->get<T>();
}
void take(const json &from, const char *name, Duration &into) {
    if (const auto it = from.find(name); it != from.end())
        into = std::chrono::milliseconds(it->get<std::int64_t>());
}

struct Reader {
    const json &doc;
    GatewaySettings out;
    std::vector<Refusal> refused;

    void refuse(std::string path, std::string reason) {
        refused.push_back({std::move(path), std::move(reason)});
    }
    template <class T>
    void word(const json &from, const char *name, T &into,
              std::initializer_list<std::pair<const char *, T>> known) {
        const auto it = from.find(name);
        if (it == from.end())
            return;
        for (const auto &[text, value] : known)
            if (*it == text)
                into = value;
    }
    std::optional<asio::ip::tcp::endpoint> address(const json &from, const char *name,
                                                   const std::string &path) {
        const auto text = from.at(name).get<std::string>();
        const auto read = parseAddress(text);
        if (!read)
            refuse(path, "'" + text + "' is not HOST:PORT with a numeric host");
        return read;
    }

    void gateway() {
        const json &from = part(doc, "gateway");
        take(from, "id", out.id);
        take(from, "count", out.module.gateways);
        take(doc, "zones", out.zones);
        if (std::set<std::string>(out.zones.begin(), out.zones.end()).size() != out.zones.size())
            refuse("/zones", "a name stands twice");
        if (const auto zone = from.find("zone"); zone != from.end()) {
            if (std::ranges::find(out.zones, zone->get<std::string>()) == out.zones.end())
                refuse("/gateway/zone", "is not one of /zones");
            else
                out.module.zone = out.zoneNo(zone->get<std::string>());
        }
    }

    void route(std::size_t no, const json &from) {
        const std::string at = "/routes/" + std::to_string(no);
        RouteRule rule;
        Route route;
        take(from, "name", rule.name), take(from, "method", rule.method);
        take(from, "pathPrefix", rule.pathPrefix), take(from, "routeTimeoutMs", rule.routeTimeout);
        take(from, "latencyObjectiveMs", route.latencyObjective);
        word(from, "effect", route.idempotency,
             {{"retriable", Idempotency::idempotent},
              {"deduped", Idempotency::withKey},
              {"non-retriable", Idempotency::nonIdempotent}});
        word(from, "group", route.deduplicationScope,
             {{"all", DeduplicationScope::all},
              {"zone", DeduplicationScope::zone},
              {"cell", DeduplicationScope::cell}});
        take(from, "repeatWindowMs", route.deduplicationWindow);
        if (route.latencyObjective > rule.routeTimeout)
            refuse(at + "/latencyObjectiveMs",
                   "is over the route timeout: no answer would come in time");
        if (rule.routeTimeout <= 2 * out.answerMargin)
            refuse(at + "/routeTimeoutMs",
                   "is not over twice /limits/answerMarginMs: no time is left for a try");
        if (route.idempotency == Idempotency::withKey && route.deduplicationWindow <= Duration{0})
            refuse(at + "/repeatWindowMs",
                   "is needed for a deduped route: after it a repeat would run twice");
        if (route.idempotency != Idempotency::withKey &&
            (from.contains("repeatWindowMs") || from.contains("group")))
            refuse(
                at,
                "repeatWindowMs and group are for deduped routes only: nothing drops its repeats");
        for (std::size_t before = 0; before < no; ++before) {
            const auto &other = out.routes[before];
            if (other.name == rule.name)
                refuse(at + "/name", "stands at /routes/" + std::to_string(before) + " too");
            if ((other.method.empty() || other.method == rule.method) &&
                rule.pathPrefix.starts_with(other.pathPrefix))
                refuse(at, "is never reached: /routes/" + std::to_string(before) +
                               " takes all of it first");
        }
        out.routes.push_back(rule), out.module.routes.push_back(route);
    }

    void limits() {
        const json &from = part(doc, "limits");
        auto &listener = out.listener;
        take(from, "clientConnections", listener.connections),
            take(from, "reqsInHand", out.maxRequestsInFlight);
        take(from, "headBytes", listener.headBytes), take(from, "bodyBytes", listener.bodyBytes);
        take(from, "pipelinedBytes", listener.pipelinedBytes),
            take(from, "waitingBytes", listener.waitingBytes);
        take(from, "messageWithinMs", listener.messageWithin),
            take(from, "clientIdleMs", listener.idleFor);
        take(from, "slowPeerMs", listener.slowPeerFor),
            take(from, "answerMarginMs", out.answerMargin);
        take(from, "standstillMs", out.standstill);
        const json &up = part(doc, "upstream");
        auto &u = out.upstream;
        take(up, "connections", u.connections), take(up, "connectWithinMs", u.connectWithin);
        take(up, "idleMs", u.idleFor), take(up, "stalledMs", u.stalledFor);
        take(up, "heldAnswerBytes", u.heldAnswerBytes), take(up, "probeWithinMs", u.probeWithin);
        take(up, "probePath", u.probePath);
        out.module.maxSendDelay = u.connectWithin;
    }

    void headers() {
        const json &from = part(doc, "headers");
        auto &h = out.headers;
        std::vector<std::pair<const char *, std::string *>> all = {
            {"key", &h.key},         {"account", &h.tenant}, {"remaining", &h.remaining},
            {"reqId", &h.requestId}, {"full", &h.full},      {"load", &h.load}};
        for (std::size_t k = 0; k < all.size(); ++k) {
            take(from, all[k].first, *all[k].second);
            const std::string at = std::string("/headers/") + all[k].first;
            const auto token = [](char c) {
                return std::isalnum(static_cast<unsigned char>(c)) ||
                       std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
            };
            if (!std::ranges::all_of(*all[k].second, token))
                refuse(at, "is no field name (RFC 9110, 5.1)");
            if (!http::travels({}, *all[k].second))
                refuse(at, "is a field of one connection and never passed on");
            for (std::size_t before = 0; before < k; ++before)
                if (http::sameName(*all[before].second, *all[k].second))
                    refuse(at,
                           std::string("is the name of /headers/") + all[before].first + " too");
        }
    }

    void allowed() {
        const json &from = part(doc, "allowed"), &rules = part(doc, "rules");
        auto &v = out.module;
        v.cancellationAllowed = true, v.maxAttempts = 4;
        v.maxRetryAfter = std::chrono::seconds(1), v.retryAfterSupported = true;
        // The module asks for the list and asks again after a failure: the shell makes no such
        // choice.
        v.subscriptionRequired = true;
        v.subscribeWithin = std::chrono::seconds(10);
        take(from, "copies", v.hedgingAllowed), take(from, "cancel", v.cancellationAllowed);
        take(from, "mostTries", v.maxAttempts), take(from, "longestRetryAfterMs", v.maxRetryAfter);
        take(from, "askWithinMs", v.subscribeWithin), take(from, "crossZoneFee", v.crossZoneCost);
        take(from, "inHandField", v.inFlightReportField);
        v.initialCapacity = 0.3, v.warmUpTime = std::chrono::seconds(5), v.overloadMultiple = 2;
        v.overloadWindow = std::chrono::seconds(3);
        take(rules, "coldFrom", v.initialCapacity), take(rules, "warmWithinMs", v.warmUpTime);
        take(rules, "tipMultiple", v.overloadMultiple),
            take(rules, "overloadForMs", v.overloadWindow);
        if (v.initialCapacity <= 0)
            refuse("/rules/coldFrom", "is not over 0: a cold instance would never be sent a req");
        double sum = 0;
        const json tenants = doc.value("accounts", json::array());
        for (std::size_t k = 0; k < tenants.size(); ++k) {
            const auto name = tenants[k].at("name").get<std::string>();
            if (std::ranges::find(out.tenants, name) != out.tenants.end())
                refuse("/accounts/" + std::to_string(k) + "/name", "stands twice");
            out.tenants.push_back(name);
            v.tenantQuotas.push_back(tenants[k].at("share").get<double>());
            sum += v.tenantQuotas.back();
        }
        if (sum > 1.0001)
            refuse("/accounts", "the shares add up to more than 1");
    }

    void release() {
        const json &from = part(doc, "release");
        auto &v = out.module;
        v.promotionRule = PromotionRule::quorum, v.exposureAllowance = 2,
        v.exposureWindow = std::chrono::seconds(4);
        v.exposureLimits = {0.1, 0.4, 1}, v.stageShares = {0.1, 0.4, 1};
        v.voteLifetime = std::chrono::seconds(6), v.voteTimeout = std::chrono::milliseconds(800);
        word(from, "gate", v.promotionRule,
             {{"first-vote", PromotionRule::firstVote},
              {"by-count", PromotionRule::quorum},
              {"clock", PromotionRule::timer}});
        take(from, "replacedInPlace", v.inPlaceReplacement),
            take(from, "exposurePerRoute", v.exposurePerRoute);
        take(from, "keysStay", v.stickyKeys), take(from, "guardedStages", v.idempotentOnlyStages);
        take(from, "spareTries", v.exposureAllowance),
            take(from, "exposureSpanMs", v.exposureWindow);
        take(from, "caps", v.exposureLimits), take(from, "shares", v.stageShares);
        take(from, "voteLifeMs", v.voteLifetime), take(from, "voteAnswerWithinMs", v.voteTimeout);
        take(from, "votesToGoBack", v.votesToRollBack),
            take(from, "wrongReported", v.incorrectReportRate);
        if (v.exposureLimits.size() != v.stageShares.size())
            refuse("/release/caps", "has another number of stages than /release/shares");
        if (!std::ranges::is_sorted(v.exposureLimits))
            refuse("/release/caps", "falls from one stage to the next");
        if (!std::ranges::is_sorted(v.stageShares))
            refuse("/release/shares", "falls from one stage to the next");
        if (v.voteTimeout >= v.voteLifetime)
            refuse("/release/voteAnswerWithinMs",
                   "is not below /release/voteLifeMs: votes would lapse unseen");
        if (v.votesToRollBack > v.gateways)
            refuse("/release/votesToGoBack",
                   "is over /gateway/count: a bad build could never be sent back");
    }

    int zone(const json &from, const std::string &at) {
        const auto it = from.find("zone");
        if (it == from.end())
            return 0;
        if (std::ranges::find(out.zones, it->get<std::string>()) == out.zones.end())
            refuse(at + "/zone", "is not one of /zones");
        return out.zoneNo(it->get<std::string>());
    }

    void sources() {
        const auto it = doc.find("sources");
        if (it == doc.end())
            return;
        const json &from = *it;
        SourceSettings settings;
        auto &merge = settings.merge;
        take(from, "longestStalenessMs", merge.longestStale),
            take(from, "confirmShare", merge.confirmShare);
        take(from, "confirmAfterMs", merge.confirmAfter), take(from, "graceMs", merge.grace);
        take(from, "reserveBelow", merge.reserveBelow);
        merge.reserveUntil = std::max(merge.reserveUntil, merge.reserveBelow);
        take(from, "reserveUntil", merge.reserveUntil);
        if (merge.reserveUntil < merge.reserveBelow)
            refuse("/sources/reserveUntil",
                   "is below /sources/reserveBelow: a class would open and close for ever");
        bool deskList = doc.contains("desk");
        take(from, "deskList", deskList);
        if (deskList && !doc.contains("desk"))
            refuse("/sources/deskList", "is set, but there is no /desk");
        const json nodes = from.value("nodes", json::array());
        for (std::size_t k = 0; k < nodes.size(); ++k) {
            const std::string at = "/sources/nodes/" + std::to_string(k);
            membership::Claim c;
            if (const auto to = address(nodes[k], "address", at + "/address"))
                c.entry.id = format(*to);
            take(nodes[k], "build", c.entry.build), take(nodes[k], "cell", c.entry.cell);
            take(nodes[k], "weight", c.entry.weight);
            c.entry.zone = zone(nodes[k], at), c.as = c.entry.id;
            for (const auto &other : settings.nodes)
                if (other.entry.id == c.entry.id)
                    refuse(at + "/address", "stands twice");
            settings.nodes.push_back(std::move(c));
        }
        if (const auto srv = from.find("srv"); srv != from.end()) {
            const auto &names = srv->at("names");
            for (std::size_t k = 0; k < names.size(); ++k) {
                const std::string at = "/sources/srv/names/" + std::to_string(k);
                membership::SrvName name;
                name.name = dns::canonicalName(names[k].at("name").get<std::string>());
                if (name.name.empty())
                    refuse(at + "/name", "is no DNS name");
                take(names[k], "build", name.build), take(names[k], "cell", name.cell);
                name.zone = zone(names[k], at);
                for (const auto &other : settings.names)
                    if (other.name == name.name)
                        refuse(at + "/name", "stands twice");
                settings.names.push_back(std::move(name));
            }
            const auto &servers = srv->at("servers");
            auto &r = settings.resolver;
            for (std::size_t k = 0; k < servers.size(); ++k) {
                const auto text = servers[k].get<std::string>();
                const auto to = parseAddress(text);
                if (!to || to->port() == 0)
                    refuse("/sources/srv/servers/" + std::to_string(k),
                           "'" + text + "' is not HOST:PORT with a numeric host and a port");
                else
                    r.servers.emplace_back(to->address(), to->port());
            }
            take(*srv, "lifetimeFloorMs", r.refresh.floor),
                take(*srv, "lifetimeCeilingMs", r.refresh.ceiling);
            take(*srv, "negativeCeilingMs", r.refresh.negativeCeiling);
            take(*srv, "questionsASecond", r.questionsASecond),
                take(*srv, "questionsInFlight", r.inFlight);
            if (r.refresh.floor > r.refresh.ceiling)
                refuse("/sources/srv/lifetimeFloorMs", "is over /sources/srv/lifetimeCeilingMs");
        }
        // As asked for; kinds that are not named come behind, in the order control plane, nodes,
        // srv.
        std::vector<std::string> kinds = from.value("precedence", std::vector<std::string>{});
        if (std::set<std::string>(kinds.begin(), kinds.end()).size() != kinds.size())
            refuse("/sources/precedence", "a kind stands twice");
        for (const char *kind : {"desk", "nodes", "srv"})
            if (std::ranges::find(kinds, kind) == kinds.end())
                kinds.emplace_back(kind);
        using membership::SourceKind;
        for (const auto &kind : kinds) {
            if (kind == "desk" && deskList)
                merge.sources.push_back({"desk", SourceKind::controlPlane});
            if (kind == "nodes" && !settings.nodes.empty())
                merge.sources.push_back({"nodes", SourceKind::nodes});
            if (kind == "srv")
                for (const auto &name : settings.names)
                    merge.sources.push_back({name.name, SourceKind::srv});
        }
        if (merge.sources.empty())
            refuse("/sources", "names no source: no instance could ever be listed");
        out.sources = std::move(settings);
    }

    void outside() {
        if (const auto controlPlane = doc.find("desk"); controlPlane != doc.end()) {
            const auto at = address(*controlPlane, "address", "/desk/address");
            ControlPlaneSettings calls{at.value_or(asio::ip::tcp::endpoint{}),
                                       std::chrono::seconds(1), std::chrono::seconds(3)};
            take(*controlPlane, "answerWithinMs", calls.answerWithin),
                take(*controlPlane, "silentForMs", calls.silentFor);
            out.controlPlane = calls;
        }
        take(part(doc, "logs"), "reqSample", out.requestLogSample);
    }
};

}  // namespace

int tenantIndex(const std::vector<std::string> &tenants, std::string_view name) {
    return tenants.empty() ? 0 : int(std::ranges::find(tenants, name) - tenants.begin());
}

int GatewaySettings::zoneNo(const std::string &name) const {
    const auto it = std::ranges::find(zones, name);
    return it == zones.end() ? 0 : int(it - zones.begin());
}

ParsedSettings parseSettings(const json &document) {
    ParsedSettings read;
    read.refused = checkSchema(settingsSchema(), document);
    if (!read.refused.empty())
        return read;
    Reader reader{document, {}, {}};
    reader.gateway();
    reader.limits();
    const auto &routes = document.at("routes");
    for (std::size_t k = 0; k < routes.size(); ++k)
        reader.route(k, routes[k]);
    reader.headers();
    reader.allowed();
    reader.release();
    reader.outside();
    reader.sources();
    read.refused = std::move(reader.refused);
    if (read.refused.empty())
        read.settings = std::move(reader.out);
    return read;
}

bool sameModule(const json &a, const json &b) {
    for (const char *place : {"/gateway", "/zones", "/routes", "/accounts", "/allowed", "/rules",
                              "/release", "/upstream/connectWithinMs"}) {
        const json::json_pointer at(place);
        if (a.value(at, json{}) != b.value(at, json{}))
            return false;
    }
    return true;
}

}  // namespace deckcart
