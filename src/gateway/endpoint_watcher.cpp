#include "endpoint_watcher.hpp"

#include <algorithm>

#include "../base/address.hpp"
#include "../control_plane/documents.hpp"
#include "../membership/claims.hpp"

namespace deckcart {
namespace {

using nlohmann::json;

bool same(const EndpointEntry &a, const EndpointEntry &b) {
    return a.id == b.id && a.zone == b.zone && a.cell == b.cell && a.build == b.build &&
           a.state == b.state && a.weight == b.weight && a.startedAt == b.startedAt;
}

Duration ms(const json &from) {
    return Duration{std::llround(from.get<double>() * 1000)};
}

// An entry without what only a control plane knows of it.
json entryJson(const EndpointEntry &e, const std::vector<std::string> &zones, Duration now) {
    json out = toJson(listedOf(e, zones, now));
    out.erase("incarnation");
    return out;
}

}  // namespace

EndpointWatcher::EndpointWatcher(asio::io_context &io, const Clock &steady,
                                 const GatewaySettings &settings, std::uint64_t seed, Log to,
                                 Now now, Tell teller,
                                 const std::vector<membership::SavedSource> &saved,
                                 const EndpointWatcher *before)
    : clock(std::move(now)), tell(std::move(teller)), log(std::move(to)),
      rules(settings.sources->merge), merge(rules), timer(io) {
    if (before)
        merge.adopt(before->merge), last = before->last, everTold = before->everTold;
    else
        merge.recall(saved);
    const auto &given = *settings.sources;
    for (std::size_t k = 0; k < rules.sources.size(); ++k) {
        const auto &source = rules.sources[k];
        if (source.kind == membership::SourceKind::controlPlane)
            controlPlane = k;
        if (source.kind == membership::SourceKind::nodes)
            merge.took(k, {clock(), membership::kForever, "settings", given.nodes, true, {}});
        if (source.kind == membership::SourceKind::srv)
            names[source.name] = {
                k, *std::ranges::find(given.names, source.name, &membership::SrvName::name)};
    }
    if (!names.empty()) {
        for (const auto &s : given.resolver.servers)
            servers.push_back(format(asio::ip::tcp::endpoint(s.address(), s.port())));
        resolver = std::make_unique<dns::Resolver>(
            io, steady, given.resolver, seed,
            [this](const std::string &name, const dns::Found &what, Duration lifetime,
                   std::size_t server) { found(name, what, lifetime, server); });
        const auto view = merge.at(clock());
        for (const auto &[name, at] : names)
            resolver->follow(name, view.sources[at.first].state != membership::SourceState::never);
    }
    look(false);
}

void EndpointWatcher::onControlPlaneUpdate(const EndpointListUpdate &list) {
    if (!controlPlane)
        return;
    std::vector<membership::Claim> claims;
    for (const auto &e : list.entries)
        claims.push_back({e, membership::kNoClass, e.id});
    if (list.complete)
        merge.took(*controlPlane,
                   {clock(), membership::kForever, "desk", std::move(claims), false, {}});
    else
        merge.tookChanges(*controlPlane, clock(), claims);
    if (onRead)
        onRead();
    look(false);
}

void EndpointWatcher::onControlPlaneFailure() {
    if (controlPlane)
        merge.lost(*controlPlane, clock(), "the desk does not answer"), look(false);
}

void EndpointWatcher::found(const std::string &name, const dns::Found &what, Duration lifetime,
                            std::size_t server) {
    const auto &[source, srv] = names.at(name);
    std::string fault = what.fault;
    for (const auto &note : what.notes)
        fault += (fault.empty() ? "" : "; ") + note;
    if (fault != faults[name])
        log.warn("srv", {{"name", name},
                         {"found", nameOf(what.kind)},
                         {"targets", what.targets.size()},
                         {"says", fault}});
    faults[name] = fault;
    if (what.kind == dns::FoundKind::failed)
        merge.failedOnce(source, what.fault);
    else
        merge.took(source, membership::readingOf(srv, what, clock(), lifetime, servers.at(server)));
    if (onRead)
        onRead();
    look(false);
}

void EndpointWatcher::tellAgain() {
    look(true);
}

membership::View EndpointWatcher::view() {
    return merge.at(clock());
}

void EndpointWatcher::look(bool again) {
    const Duration now = clock();
    const auto view = merge.at(now);
    EndpointListUpdate list{true, {}};
    for (const auto &m : view.members)
        if (m.inSet)
            list.entries.push_back(m.entry);
    const bool changed = !std::ranges::equal(list.entries, last, same);
    if (changed) {
        const auto live =
            std::ranges::count(list.entries, EndpointState::active, &EndpointEntry::state);
        log.info("members",
                 {{"live", live}, {"draining", list.entries.size() - std::size_t(live)}});
    }
    // An empty set before any source has spoken is no news.
    if ((changed || again) && (everTold || !list.entries.empty()))
        last = list.entries, everTold = true, tell(std::move(list));
    for (const auto &[source, at] : view.confirm) {
        const auto &rule = rules.sources[source];
        if (rule.kind == membership::SourceKind::srv && resolver)
            resolver->askAgainIn(rule.name, std::max(Duration{0}, at - now));
        if (rule.kind == membership::SourceKind::controlPlane && now >= at)
            tell(EndpointListFailed{});  // the module asks anew
    }
    if (!view.changesAt)
        return void(timer.cancel());
    timer.expires_after(*view.changesAt - now);
    timer.async_wait([this](asio::error_code fault) {
        if (!fault)
            look(false);
    });
}

json toJson(const membership::View &view, const std::vector<membership::SourceRule> &sources,
            const std::vector<std::string> &zones, Duration now) {
    json instances = json::array(), rows = json::array();
    for (const auto &m : view.members) {
        json one = entryJson(m.entry, zones, now);
        if (m.priority != membership::kNoClass)
            one["priority"] = m.priority;
        one["inSet"] = m.inSet, one["reason"] = m.reason, one["sources"] = m.sources,
        one["state"] = nameOf(m.state);
        one["toldAgoMs"] = milliseconds(m.age),
        one["lifetimeLeftMs"] = milliseconds(m.lifetimeLeft);
        instances.push_back(std::move(one));
    }
    for (std::size_t k = 0; k < view.sources.size(); ++k) {
        const auto &s = view.sources[k];
        rows.push_back({{"name", sources[k].name},
                        {"kind", nameOf(sources[k].kind)},
                        {"state", nameOf(s.state)},
                        {"toldAgoMs", milliseconds(s.age)},
                        {"lifetimeLeftMs", milliseconds(s.lifetimeLeft)},
                        {"listed", s.listed},
                        {"heldLosses", s.held},
                        {"toldBy", s.from},
                        {"fault", s.fault}});
    }
    return {{"instances", std::move(instances)}, {"sources", std::move(rows)}};
}

json toJson(const std::vector<membership::SavedSource> &saved, Duration now) {
    json out = json::array();
    for (const auto &s : saved) {
        json listed = json::array(), stops = json::array(), withdrawn = json::array();
        for (const auto &[c, since] : s.listed) {
            json one = entryJson(c.entry, {}, now);
            one["zoneNo"] = c.entry.zone, one["as"] = c.as, one["priority"] = c.priority,
            one["sinceMs"] = milliseconds(now - since);
            listed.push_back(std::move(one));
        }
        for (const auto &[id, stop] : s.stops)
            stops.push_back({{"id", id},
                             {"gone", stop.first == EndpointState::removed},
                             {"sinceMs", milliseconds(now - stop.second)}});
        for (const auto &[id, at] : s.withdrawn)
            withdrawn.push_back({{"id", id}, {"sinceMs", milliseconds(now - at)}});
        out.push_back({{"name", s.name},
                       {"from", s.from},
                       {"toldAgoMs", milliseconds(now - s.at)},
                       {"lifetimeMs", milliseconds(s.lifetime)},
                       {"listed", std::move(listed)},
                       {"stops", std::move(stops)},
                       {"withdrawn", std::move(withdrawn)}});
    }
    return out;
}

std::vector<membership::SavedSource> readSaved(const json &from, Duration now, Duration passed) {
    std::vector<membership::SavedSource> out;
    const auto time = [&](const json &of, const char *name) {
        return now - passed - ms(of.at(name));
    };
    for (const auto &s : from) {
        membership::SavedSource one;
        one.name = s.at("name").get<std::string>(), one.from = s.at("from").get<std::string>();
        one.at = time(s, "toldAgoMs"), one.lifetime = ms(s.at("lifetimeMs"));
        for (const auto &l : s.at("listed")) {
            const auto read = readListed(l);
            membership::Claim c;
            c.entry = {
                read.id, l.at("zoneNo").get<int>(), read.cell, read.build, read.state, read.weight,
                {}};
            if (read.age)
                c.entry.startedAt = now - passed - *read.age;
            c.as = l.at("as").get<std::string>(), c.priority = l.at("priority").get<int>();
            one.listed.emplace_back(std::move(c), time(l, "sinceMs"));
        }
        for (const auto &l : s.at("stops"))
            one.stops[l.at("id").get<std::string>()] = {
                l.at("gone").get<bool>() ? EndpointState::removed : EndpointState::draining,
                time(l, "sinceMs")};
        for (const auto &l : s.at("withdrawn"))
            one.withdrawn[l.at("id").get<std::string>()] = time(l, "sinceMs");
        out.push_back(std::move(one));
    }
    return out;
}

}  // namespace deckcart
