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

EndpointWatcher::EndpointWatcher(asio::io_context &context, const Clock &steadyClock,
                                 const GatewaySettings &settings, std::uint64_t seed, Log target,
                                 TimeSource now, EventHandler eventHandler,
                                 const std::vector<membership::SavedSource> &saved,
                                 const EndpointWatcher *previous)
    : clock(std::move(now)), handler(std::move(eventHandler)), log(std::move(target)),
      rules(settings.sources->merge), merge(rules), timer(context) {
    if (previous) {
        merge.copyStateFrom(previous->merge);
        published = previous->published;
        hasPublished = previous->hasPublished;
    } else {
        merge.restore(saved);
    }
    addSources(*settings.sources);
    if (!watchedNames.empty())
        watchNames(*settings.sources, context, steadyClock, seed);
    update(PublishMode::ifChanged);
}

void EndpointWatcher::addSources(const SourceSettings &sourceSettings) {
    for (std::size_t index = 0; index < rules.sources.size(); ++index) {
        const auto &source = rules.sources[index];
        switch (source.kind) {
        case membership::SourceKind::controlPlane:
            controlPlane = index;
            break;
        case membership::SourceKind::nodes:
            merge.applyReading(index, {clock(),
                                       membership::kUnlimitedLifetime,
                                       "settings",
                                       sourceSettings.staticEndpoints,
                                       true,
                                       {}});
            break;
        case membership::SourceKind::srv:
            watchedNames[source.name] = {index,
                                         *std::ranges::find(sourceSettings.srvNames, source.name,
                                                            &membership::SrvName::name)};
            break;
        }
    }
}

void EndpointWatcher::watchNames(const SourceSettings &sourceSettings, asio::io_context &context,
                                 const Clock &steadyClock, std::uint64_t seed) {
    for (const auto &server : sourceSettings.resolver.servers)
        servers.push_back(format(asio::ip::tcp::endpoint(server.address(), server.port())));
    resolver = std::make_unique<dns::Resolver>(
        context, steadyClock, sourceSettings.resolver, seed,
        [this](const std::string &name, const dns::LookupResult &found, Duration lifetime,
               std::size_t server) { onLookup(name, found, lifetime, server); });
    const auto merged = view();
    for (const auto &[name, watched] : watchedNames) {
        const bool known = merged.sources[watched.source].state != membership::SourceState::never;
        resolver->watch(name, known);
    }
}

void EndpointWatcher::onControlPlaneUpdate(const EndpointListUpdate &list) {
    if (!controlPlane)
        return;
    std::vector<membership::Claim> claims;
    for (const auto &entry : list.entries)
        claims.push_back({entry, membership::kNoPriorityClass, entry.id});
    if (list.complete)
        merge.applyReading(
            *controlPlane,
            {clock(), membership::kUnlimitedLifetime, "desk", std::move(claims), false, {}});
    else
        merge.applyChanges(*controlPlane, clock(), claims);
    sourceRead();
}

void EndpointWatcher::onControlPlaneFailure() {
    if (!controlPlane)
        return;
    merge.markUnavailable(*controlPlane, clock(), "the control plane does not respond");
    update(PublishMode::ifChanged);
}

void EndpointWatcher::onLookup(const std::string &name, const dns::LookupResult &found,
                               Duration lifetime, std::size_t server) {
    logLookup(name, found);
    const auto &watched = watchedNames.at(name);
    if (found.outcome == dns::LookupOutcome::failed)
        merge.recordFailedAttempt(watched.source, found.fault);
    else
        merge.applyReading(watched.source, membership::makeReading(watched.srv, found, clock(),
                                                                   lifetime, servers.at(server)));
    sourceRead();
}

void EndpointWatcher::logLookup(const std::string &name, const dns::LookupResult &found) {
    std::string error = found.fault;
    for (const auto &note : found.notes)
        error += (error.empty() ? "" : "; ") + note;
    std::string &logged = lastLookupErrors[name];
    if (error != logged)
        log.warn("srv", {{"name", name},
                         {"found", nameOf(found.outcome)},
                         {"targets", found.targets.size()},
                         {"says", error}});
    logged = error;
}

void EndpointWatcher::sourceRead() {
    if (onSourceRead)
        onSourceRead();
    update(PublishMode::ifChanged);
}

void EndpointWatcher::republish() {
    update(PublishMode::always);
}

membership::MergeResult EndpointWatcher::view() {
    return merge.evaluate(clock());
}

void EndpointWatcher::update(PublishMode mode) {
    const TimePoint now = clock();
    const auto merged = merge.evaluate(now);
    publishList(mode, merged);
    confirmLosses(merged, now);
    scheduleUpdate(merged, now);
}

void EndpointWatcher::publishList(PublishMode mode, const membership::MergeResult &merged) {
    EndpointListUpdate list{true, {}};
    for (const auto &member : merged.members)
        if (member.inSet)
            list.entries.push_back(member.entry);
    const bool changed = !std::ranges::equal(list.entries, published, sameEntry);
    if (changed) {
        const auto active =
            std::ranges::count(list.entries, EndpointState::active, &EndpointEntry::state);
        log.info("members",
                 {{"live", active}, {"draining", list.entries.size() - std::size_t(active)}});
    }
    // An empty list is not passed on before any source has been read.
    const bool known = hasPublished || !list.entries.empty();
    if (known && (changed || mode == PublishMode::always)) {
        published = list.entries;
        hasPublished = true;
        handler(std::move(list));
    }
}

void EndpointWatcher::confirmLosses(const membership::MergeResult &merged, TimePoint now) {
    for (const auto &[source, due] : merged.confirmations) {
        const auto &rule = rules.sources[source];
        if (rule.kind == membership::SourceKind::srv && resolver)
            resolver->refreshAfter(rule.name, std::max(Duration{0}, due - now));
        if (rule.kind == membership::SourceKind::controlPlane && now >= due)
            handler(EndpointListFailed{});  // makes the decision module request the list again
    }
}

void EndpointWatcher::scheduleUpdate(const membership::MergeResult &merged, TimePoint now) {
    if (!merged.nextChangeAt) {
        timer.cancel();
        return;
    }
    timer.expires_after(*merged.nextChangeAt - now);
    timer.async_wait(guard.wrap([this](asio::error_code error) {
        if (!error)
            update(PublishMode::ifChanged);
    }));
}

}  // namespace deckcart
