// Keeps what a gateway knows of its endpoints over a restart: restored once at the start, saved
// while it runs. Used by the gateway's process; the files are StateStore's.
#pragma once

#include <asio/steady_timer.hpp>
#include <string>

#include "../base/callback_guard.hpp"
#include "../base/log.hpp"
#include "gateway.hpp"
#include "state_store.hpp"

namespace deckcart {

/// On the gateway's thread. The gateway and the store outlive it.
class EndpointPersistence {
  public:
    EndpointPersistence(asio::io_context &context, Gateway &gateway, const StateStore &store,
                        Log log);
    EndpointPersistence(const EndpointPersistence &) = delete;
    EndpointPersistence &operator=(const EndpointPersistence &) = delete;

    /// Hands what was saved to the gateway; before its first request. What can't be read is logged
    /// and left out.
    void restore();
    /// From now on changes are saved, at most once a second.
    void start();
    /// No more saves by the clock.
    void stop();
    /// Saves now, if there is a change. A failure is logged once for as long as it is the same, and
    /// the save is tried again with the next one.
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
    std::string lastFault;
    CallbackGuard guard;
};

}  // namespace deckcart
