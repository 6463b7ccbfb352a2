#include "endpoint_persistence.hpp"

namespace deckcart {
namespace {

// A restart loses the changes of so long at most; the list of a large site is written in
// milliseconds.
constexpr auto kSaveInterval = std::chrono::seconds(1);

}  // namespace

EndpointPersistence::EndpointPersistence(asio::io_context &context, Gateway &of,
                                         const StateStore &in, Log to)
    : gateway(of), store(in), log(std::move(to)), timer(context) {}

void EndpointPersistence::restore() {
    if (const auto *watcher = gateway.members())
        restoreSources(watcher->now());
    else
        restoreEndpointList();
}

void EndpointPersistence::restoreEndpointList() {
    try {
        const auto stored = store.loadEndpointList();
        if (!stored)
            return;
        gateway.remember(stored->endpoints);
        log.info("recalled",
                 {{"instances", stored->endpoints.size()}, {"sinceMs", milliseconds(stored->age)}});
    } catch (const std::exception &fault) {
        log.warn("set-aside", {{"fault", std::string("list.json: ") + fault.what()}});
    }
}

void EndpointPersistence::restoreSources(TimePoint now) {
    try {
        const auto stored = store.loadSources(now);
        if (!stored)
            return;
        gateway.remember(stored->sources);
        log.info("recalled",
                 {{"sources", stored->sources.size()}, {"sinceMs", stored->age.count()}});
    } catch (const std::exception &fault) {
        log.warn("set-aside", {{"fault", std::string("sources.json: ") + fault.what()}});
    }
}

void EndpointPersistence::start() {
    gateway.onEndpointsChanged = guard.wrap([this] { changed = true; });
    scheduleSave();
}

void EndpointPersistence::stop() {
    timer.cancel();
}

void EndpointPersistence::scheduleSave() {
    if (!store.keeps())
        return;
    timer.expires_after(kSaveInterval);
    timer.async_wait(guard.wrap([this](asio::error_code fault) {
        if (fault)
            return;
        save();
        scheduleSave();
    }));
}

void EndpointPersistence::save() {
    if (!store.keeps() || !changed)
        return;
    const auto *watcher = gateway.members();
    const std::string fault = watcher ? store.saveSources(watcher->saved(), watcher->now())
                                      : store.saveEndpointList(gateway.listed());
    if (fault.empty())
        changed = false;
    else if (fault != lastFault)
        log.warn("save", {{"fault", fault}});
    lastFault = fault;
}

}  // namespace deckcart
