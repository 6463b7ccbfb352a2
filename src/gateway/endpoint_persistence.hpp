// Keeps the endpoint data of a gateway across restarts: restores it once at the start and saves it
// while the gateway runs. Used by the gateway's process; StateStore handles the files.
#pragma once

#include <asio/steady_timer.hpp>
#include <string>

#include "../base/callback_guard.hpp"
#include "../base/log.hpp"
#include "gateway.hpp"
#include "state_store.hpp"

namespace deckcart {

/// Used on the gateway's thread only. The gateway and the store must outlive this object.
class EndpointPersistence {
  public:
    EndpointPersistence(asio::io_context &context, Gateway &gateway, const StateStore &store,
                        Log log);
    EndpointPersistence(const EndpointPersistence &) = delete;
    EndpointPersistence &operator=(const EndpointPersistence &) = delete;

    /// Passes the saved data to the gateway. Must be called before the first request. Unreadable
    /// data is logged and ignored.
    void restore();
    /// Saves changes from now on, at most once a second.
    void start();
    /// Stops the periodic saves.
    void stop();
    /// Saves now if there are changes. An error is logged when it first occurs or differs from the
    /// previous one; the next save retries.
    void save();

  private:
    void restoreEndpointList();
    void restoreSources(TimePoint now);
    void scheduleSave();

    Gateway &gateway;
    const StateStore &store;
    Log log;
    asio::steady_timer timer;
    bool changed = false;
    std::string lastError;
    CallbackGuard guard;
};

}  // namespace deckcart
