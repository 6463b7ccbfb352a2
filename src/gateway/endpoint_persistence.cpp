#include "endpoint_persistence.hpp"

namespace deckcart {
namespace {

// The most that a crash can lose. Writing the list of a large site takes milliseconds.
constexpr auto kSaveInterval = std::chrono::seconds(1);

}  // namespace

EndpointPersistence::EndpointPersistence(asio::io_context &context, Gateway &savedGateway,
                                         const StateStore &stateStore, Log target)
    : gateway(savedGateway), store(stateStore), log(std::move(target)), timer(context) {}

void EndpointPersistence::restore() {
    if (const auto *watcher = gateway.endpointWatcher())
        restoreSources(watcher->now());
    else
        restoreEndpointList();
}

void EndpointPersistence::restoreEndpointList() {
    try {
        const auto stored = store.loadEndpointList();
        if (!stored)
            return;
        gateway.restoreEndpoints(stored->endpoints);
        log.info("recalled",
                 {{"instances", stored->endpoints.size()}, {"sinceMs", milliseconds(stored->age)}});
    } catch (const std::exception &error) {
        log.warn("set-aside", {{"fault", std::string("list.json: ") + error.what()}});
    }
}

void EndpointPersistence::restoreSources(TimePoint now) {
    try {
        const auto stored = store.loadSources(now);
        if (!stored)
            return;
        gateway.restoreSources(stored->sources);
        log.info("recalled",
                 {{"sources", stored->sources.size()}, {"sinceMs", stored->age.count()}});
    } catch (const std::exception &error) {
        log.warn("set-aside", {{"fault", std::string("sources.json: ") + error.what()}});
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
    if (!store.keepsState())
        return;
    timer.expires_after(kSaveInterval);
    timer.async_wait(guard.wrap([this](asio::error_code error) {
        if (error)
            return;
        save();
        scheduleSave();
    }));
}

void EndpointPersistence::save() {
    if (!store.keepsState() || !changed)
        return;
    const auto *watcher = gateway.endpointWatcher();
    const std::string error = watcher ? store.saveSources(watcher->saved(), watcher->now())
                                      : store.saveEndpointList(gateway.endpointList());
    if (error.empty())
        changed = false;
    else if (error != lastError)
        log.warn("save", {{"fault", error}});
    lastError = error;
}

}  // namespace deckcart
