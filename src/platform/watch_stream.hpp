// A permanent watch over an HTTP response that does not end. Reconnects with backoff after a
// failure, opens another connection when the current one falls silent, and moves to another address
// on request. Used by PlatformControlPlaneClient for the endpoint list and for rollout updates.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "../base/callback_guard.hpp"
#include "../base/log.hpp"
#include "../http/fetch.hpp"
#include "timing.hpp"

namespace deckcart::platform {

/// Keeps one active connection, and at most one pending connection that has not delivered a
/// complete message yet. The active connection is closed only when the pending one delivers its
/// first complete message, because a silent connection may still deliver. Not thread-safe: all
/// calls and callbacks are made on the io_context's thread.
class WatchStream {
  public:
    /// Consumes bytes of one connection. Returns whether they show that the peer is alive, that is
    /// whether they complete a message or are a heartbeat. Throws on malformed input; the
    /// connection is then replaced.
    using Reader = std::function<bool(std::string_view bytes)>;

    /// What distinguishes one watch from another.
    struct Options {
        const char *name;  ///< for log lines
        WatchTimeouts timeouts;
        http::Fetch::Cut cut;                 ///< whether the reader gets lines or arbitrary chunks
        std::uint64_t seed;                   ///< of the reconnect jitter
        std::function<std::string()> target;  ///< returns path and query; called at each connect
        std::function<Reader()> makeReader;   ///< called for each connection
    };

    WatchStream(asio::io_context &context, Options options, Log log);
    ~WatchStream();
    WatchStream(const WatchStream &) = delete;
    WatchStream &operator=(const WatchStream &) = delete;

    /// Connects to this address immediately. An active connection is kept until the new one has
    /// delivered its first complete message.
    void connectTo(const asio::ip::tcp::endpoint &peer);

  private:
    struct WatchConnection;

    void connect();
    void scheduleReconnect();
    void onBytes(const std::shared_ptr<WatchConnection> &connection, std::string_view bytes);
    void onConnectionEnd(const std::shared_ptr<WatchConnection> &connection);
    bool read(WatchConnection &connection, std::string_view bytes, bool &wellFormed);
    void promotePending();
    [[nodiscard]] std::chrono::steady_clock::time_point silenceDeadline() const;
    void armSilenceWatchdog();
    static void close(std::shared_ptr<WatchConnection> &connection);

    asio::io_context &context;
    Options options;
    std::mt19937 random;
    Log log;
    asio::ip::tcp::endpoint address;
    std::shared_ptr<WatchConnection> activeConnection;
    std::shared_ptr<WatchConnection> pendingConnection;
    asio::steady_timer reconnectTimer;
    asio::steady_timer silenceWatchdog;
    int consecutiveFailures = 0;  ///< connections that ended or sent malformed input
    int consecutiveTimeouts = 0;  ///< pending connections that sent no complete message in time
    CallbackGuard callbacks;
};

}  // namespace deckcart::platform
