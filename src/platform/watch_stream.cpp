#include "watch_stream.hpp"

#include "../base/back_off.hpp"

namespace deckcart::platform {

using SteadyTime = std::chrono::steady_clock;

// Effectively disables the silence timeout of http::Fetch: the stream has a watchdog of its own.
constexpr Duration kNoFetchTimeout = std::chrono::hours(24 * 365);
// A reconnect waits for a random fraction of the backoff, at least half of it, so that gateways
// which lost the same peer do not all reconnect at the same time.
constexpr double kMinBackoffFraction = 0.5;

struct WatchStream::WatchConnection {
    std::shared_ptr<http::Fetch> fetch;
    Reader reader;
    // Until the first complete message: time of the connect.
    SteadyTime::time_point lastActivityAt{};
    bool closed = false;
};

WatchStream::WatchStream(asio::io_context &ioContext, Options streamOptions, Log streamLog)
    : context(ioContext), options(std::move(streamOptions)),
      random(std::mt19937::result_type(options.seed)), log(std::move(streamLog)),
      reconnectTimer(context), silenceWatchdog(context) {}

WatchStream::~WatchStream() {
    close(activeConnection);
    close(pendingConnection);
}

void WatchStream::close(std::shared_ptr<WatchConnection> &connection) {
    if (!connection)
        return;
    connection->closed = true;
    if (const auto fetch = std::exchange(connection->fetch, nullptr))
        fetch->stop();
    connection = nullptr;
}

void WatchStream::connectTo(const asio::ip::tcp::endpoint &peer) {
    address = peer;
    consecutiveFailures = 0;
    consecutiveTimeouts = 0;
    connect();
}

void WatchStream::connect() {
    close(pendingConnection);
    reconnectTimer.cancel();
    const auto connection = std::make_shared<WatchConnection>();
    connection->reader = options.makeReader();
    connection->lastActivityAt = SteadyTime::now();
    http::RequestHead head;
    head.method = "GET";
    head.target = options.target();
    pendingConnection = connection;
    connection->fetch = http::Fetch::start(
        context, address, head, {}, kNoFetchTimeout,
        callbacks.wrap([this, connection](const http::Fetched &) { onConnectionEnd(connection); }),
        callbacks.wrap([this, connection](std::string_view bytes) { onBytes(connection, bytes); }),
        options.cut);
    armSilenceWatchdog();
}

void WatchStream::onConnectionEnd(const std::shared_ptr<WatchConnection> &connection) {
    if (connection->closed)
        return;
    connection->closed = true;
    connection->fetch = nullptr;
    if (connection == activeConnection)
        activeConnection = nullptr;
    if (connection == pendingConnection)
        pendingConnection = nullptr;
    if (!pendingConnection)
        scheduleReconnect();
}

bool WatchStream::read(WatchConnection &connection, std::string_view bytes, bool &wellFormed) {
    try {
        return connection.reader(bytes);
    } catch (const std::exception &error) {
        log.warn("unreadable", {{"stream", options.name}, {"fault", error.what()}});
        wellFormed = false;
        return false;
    }
}

void WatchStream::onBytes(const std::shared_ptr<WatchConnection> &connection,
                          std::string_view bytes) {
    if (connection->closed)
        return;
    bool wellFormed = true;
    const bool alive = read(*connection, bytes, wellFormed);
    if (connection->closed)
        return;  // a callback of the reader has closed this connection
    if (alive)
        connection->lastActivityAt = SteadyTime::now();
    if (alive && connection == pendingConnection)
        promotePending();
    if (wellFormed)
        return;
    close(connection == activeConnection ? activeConnection : pendingConnection);
    if (!pendingConnection)
        scheduleReconnect();
}

void WatchStream::promotePending() {
    close(activeConnection);
    activeConnection = std::exchange(pendingConnection, nullptr);
    consecutiveFailures = 0;
    consecutiveTimeouts = 0;
    armSilenceWatchdog();
}

// A pending connection gets less time than an active one. The time grows with each consecutive
// timeout, so that a slow peer can deliver eventually.
SteadyTime::time_point WatchStream::silenceDeadline() const {
    const WatchTimeouts &timeouts = options.timeouts;
    if (!pendingConnection)
        return activeConnection->lastActivityAt + timeouts.silence;
    return pendingConnection->lastActivityAt +
           backoffDelay(timeouts.firstMessage, timeouts.silence, consecutiveTimeouts, 1);
}

// Opens another connection after a silence. The active one is kept, since it may deliver first.
void WatchStream::armSilenceWatchdog() {
    if (!pendingConnection && !activeConnection)
        return;
    silenceWatchdog.expires_at(silenceDeadline());
    silenceWatchdog.async_wait(callbacks.wrap([this](asio::error_code error) {
        if (error || (!pendingConnection && !activeConnection))
            return;
        if (SteadyTime::now() < silenceDeadline())
            return armSilenceWatchdog();
        if (pendingConnection)
            ++consecutiveTimeouts;
        connect();
    }));
}

void WatchStream::scheduleReconnect() {
    const double randomFraction = double(random()) / 4294967296.0;
    const double backoffFraction = kMinBackoffFraction + (1 - kMinBackoffFraction) * randomFraction;
    const WatchTimeouts &timeouts = options.timeouts;
    reconnectTimer.expires_after(backoffDelay(timeouts.minBackoff, timeouts.maxBackoff,
                                              consecutiveFailures++, backoffFraction));
    reconnectTimer.async_wait(callbacks.wrap([this](asio::error_code error) {
        if (!error && !pendingConnection)
            connect();
    }));
}

}  // namespace deckcart::platform
