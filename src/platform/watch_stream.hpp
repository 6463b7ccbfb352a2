// A watch that is always kept: one HTTP response without end, reconnected with backoff when it
// breaks, replaced when it falls silent, moved to another address on request. Used by
// PlatformControlPlaneClient for the endpoint list and for rollout updates.
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

/// Keeps one active connection, and at most one pending connection that has not sent anything whole
/// yet. The active one is closed with the first whole message of the pending one, not before: a
/// connection that is only quiet may still deliver. One thread, that of its io_context.
class WatchStream {
  public:
    /// Consumes bytes of one connection. Returns whether they prove that the peer is alive: a whole
    /// message or a heartbeat. Throws where they can't be read; the connection is then replaced.
    using Reader = std::function<bool(std::string_view bytes)>;

    struct Options {
        const char *name;  ///< in log lines
        WatchTimeouts timeouts;
        http::Fetch::Cut cut;                 ///< what one call of a reader gets
        std::uint64_t seed;                   ///< of the jitter between reconnects
        std::function<std::string()> target;  ///< path and query, asked at each connect
        std::function<Reader()> makeReader;   ///< one for each connection
    };

    WatchStream(asio::io_context &context, Options options, Log log);
    ~WatchStream();
    WatchStream(const WatchStream &) = delete;
    WatchStream &operator=(const WatchStream &) = delete;

    /// Connects to this address at once. An active connection is kept until the new one has sent
    /// its first whole message.
    void connectTo(const asio::ip::tcp::endpoint &peer);

  private:
    struct WatchConnection;

    void connect();
    void reconnectLater();
    void onBytes(const std::shared_ptr<WatchConnection> &connection, std::string_view bytes);
    void onConnectionEnd(const std::shared_ptr<WatchConnection> &connection);
    bool read(WatchConnection &connection, std::string_view bytes, bool &readable);
    void promotePending();
    [[nodiscard]] std::chrono::steady_clock::time_point silenceDeadline() const;
    void watchForSilence();
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
    int failuresInRow = 0;  ///< connections that ended, or could not be read
    int silentInRow = 0;    ///< pending connections that sent nothing whole in time
    CallbackGuard callbacks;
};

}  // namespace deckcart::platform
