#include "endpoint_watcher.hpp"

#include <algorithm>

#include "../base/address.hpp"
#include "../membership/claims.hpp"

namespace deckcart {
namespace {

bool sameEntry(const EndpointEntry &left, const EndpointEntry &right) {
    return left.id == right.id && left.zone == right.zone && left.cell == right.cell &&
           left.build == right.build && left.state == right.state && left.weight == right.weight &&
           left.startedAt == right.startedAt;
}

}  // namespace

EndpointWatcher::EndpointWatcher(asio::io_context &context, const Clock &steady,
                                 const GatewaySettings &settings, std::uint64_t seed, Log to,
                                 TimeSource now, EventHandler eventHandler,
                                 const std::vector<membership::SavedSource> &saved,
                                 const EndpointWatcher *before)
    : clock(std::move(now)), handler(std::move(eventHandler)), log(std::move(to)),
      rules(settings.sources->merge), merge(rules), timer(context) {
    if (before) {
        merge.adopt(before->merge);
        reported = before->reported;
        hasReported = before->hasReported;
    } else {
        merge.recall(saved);
    }
    addSources(*settings.sources);
    if (!names.empty())
        watchNames(*settings.sources, context, steady, seed);
    update(Report::changes);
}

void EndpointWatcher::addSources(const SourceSettings &given) {
    for (std::size_t index = 0; index < rules.sources.size(); ++index) {
        const auto &source = rules.sources[index];
        switch (source.kind) {
        case membership::SourceKind::controlPlane:
            controlPlane = index;
            break;
        case membership::SourceKind::nodes:
            merge.took(index, {clock(), membership::kForever, "settings", given.nodes, true, {}});
            break;
        case membership::SourceKind::srv:
            names[source.name] = {
                index, *std::ranges::find(given.names, source.name, &membership::SrvName::name)};
            break;
        }
    }
}

void EndpointWatcher::watchNames(const SourceSettings &given, asio::io_context &context,
                                 const Clock &steady, std::uint64_t seed) {
    for (const auto &server : given.resolver.servers)
        servers.push_back(format(asio::ip::tcp::endpoint(server.address(), server.port())));
    resolver = std::make_unique<dns::Resolver>(
        context, steady, given.resolver, seed,
        [this](const std::string &name, const dns::Found &found, Duration lifetime,
               std::size_t server) { onLookup(name, found, lifetime, server); });
    const auto merged = view();
    for (const auto &[name, watched] : names) {
        const bool known = merged.sources[watched.source].state != membership::SourceState::never;
        resolver->follow(name, known);
    }
}

void EndpointWatcher::onControlPlaneUpdate(const EndpointListUpdate &list) {
    if (!controlPlane)
        return;
    std::vector<membership::Claim> claims;
    for (const auto &entry : list.entries)
        claims.push_back({entry, membership::kNoClass, entry.id});
    if (list.complete)
        merge.took(*controlPlane,
                   {clock(), membership::kForever, "desk", std::move(claims), false, {}});
    else
        merge.applyChanges(*controlPlane, clock(), claims);
    sourceRead();
}

void EndpointWatcher::onControlPlaneFailure() {
    if (!controlPlane)
        return;
    merge.lost(*controlPlane, clock(), "the desk does not answer");
    update(Report::changes);
}

void EndpointWatcher::onLookup(const std::string &name, const dns::Found &found, Duration lifetime,
                               std::size_t server) {
    logLookup(name, found);
    const auto &watched = names.at(name);
    if (found.kind == dns::LookupOutcome::failed)
        merge.markFailedOnce(watched.source, found.fault);
    else
        merge.took(watched.source, membership::readingOf(watched.srv, found, clock(), lifetime,
                                                         servers.at(server)));
    sourceRead();
}

void EndpointWatcher::logLookup(const std::string &name, const dns::Found &found) {
    std::string fault = found.fault;
    for (const auto &note : found.notes)
        fault += (fault.empty() ? "" : "; ") + note;
    std::string &logged = lookupFaults[name];
    if (fault != logged)
        log.warn("srv", {{"name", name},
                         {"found", nameOf(found.kind)},
                         {"targets", found.targets.size()},
                         {"says", fault}});
    logged = fault;
}

void EndpointWatcher::sourceRead() {
    if (onRead)
        onRead();
    update(Report::changes);
}

void EndpointWatcher::reportAgain() {
    update(Report::always);
}

membership::View EndpointWatcher::view() {
    return merge.at(clock());
}

void EndpointWatcher::update(Report report) {
    const TimePoint now = clock();
    const auto merged = merge.at(now);
    reportList(report, merged);
    confirmLosses(merged, now);
    scheduleUpdate(merged, now);
}

void EndpointWatcher::reportList(Report report, const membership::View &merged) {
    EndpointListUpdate list{true, {}};
    for (const auto &member : merged.members)
        if (member.inSet)
            list.entries.push_back(member.entry);
    const bool changed = !std::ranges::equal(list.entries, reported, sameEntry);
    if (changed) {
        const auto active =
            std::ranges::count(list.entries, EndpointState::active, &EndpointEntry::state);
        log.info("members",
                 {{"live", active}, {"draining", list.entries.size() - std::size_t(active)}});
    }
    // An empty list before any source has been read says nothing.
    const bool known = hasReported || !list.entries.empty();
    if (known && (changed || report == Report::always)) {
        reported = list.entries;
        hasReported = true;
        handler(std::move(list));
    }
}

void EndpointWatcher::confirmLosses(const membership::View &merged, TimePoint now) {
    for (const auto &[source, due] : merged.confirm) {
        const auto &rule = rules.sources[source];
        if (rule.kind == membership::SourceKind::srv && resolver)
            resolver->refreshWithin(rule.name, std::max(Duration{0}, due - now));
        if (rule.kind == membership::SourceKind::controlPlane && now >= due)
            handler(EndpointListFailed{});  // the decision module lists anew
    }
}

void EndpointWatcher::scheduleUpdate(const membership::View &merged, TimePoint now) {
    if (!merged.changesAt) {
        timer.cancel();
        return;
    }
    timer.expires_after(*merged.changesAt - now);
    timer.async_wait(guard.wrap([this](asio::error_code fault) {
        if (!fault)
            update(Report::changes);
    }));
}

}  // namespace deckcart
