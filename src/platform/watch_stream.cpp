#include "watch_stream.hpp"

#include "../base/back_off.hpp"

namespace deckcart::platform {

using SteadyTime = std::chrono::steady_clock;

// The limit that a fetch has for silence of its own: never reached, as the stream has a watchdog.
constexpr Duration kNoFetchTimeout = std::chrono::hours(24 * 365);
// Reconnects wait for a random part of the backoff, at least half of it: gateways that lost the
// same peer do not all come back at once.
constexpr double kLeastBackoffPart = 0.5;

struct WatchStream::WatchConnection {
    std::shared_ptr<http::Fetch> fetch;
    Reader reader;
    SteadyTime::time_point lastHeardAt{};  // before its first whole message: opened
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
    failuresInRow = 0;
    silentInRow = 0;
    connect();
}

void WatchStream::connect() {
    close(pendingConnection);
    reconnectTimer.cancel();
    const auto connection = std::make_shared<WatchConnection>();
    connection->reader = options.makeReader();
    connection->lastHeardAt = SteadyTime::now();
    http::RequestHead head;
    head.method = "GET";
    head.target = options.target();
    pendingConnection = connection;
    connection->fetch = http::Fetch::start(
        context, address, head, {}, kNoFetchTimeout,
        callbacks.wrap([this, connection](const http::Fetched &) { onConnectionEnd(connection); }),
        callbacks.wrap([this, connection](std::string_view bytes) { onBytes(connection, bytes); }),
        options.cut);
    watchForSilence();
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
        reconnectLater();
}

bool WatchStream::read(WatchConnection &connection, std::string_view bytes, bool &readable) {
    try {
        return connection.reader(bytes);
    } catch (const std::exception &fault) {
        log.warn("unreadable", {{"stream", options.name}, {"fault", fault.what()}});
        readable = false;
        return false;
    }
}

void WatchStream::onBytes(const std::shared_ptr<WatchConnection> &connection,
                          std::string_view bytes) {
    if (connection->closed)
        return;
    bool readable = true;
    const bool alive = read(*connection, bytes, readable);
    if (connection->closed)
        return;  // what it delivered has moved the stream
    if (alive)
        connection->lastHeardAt = SteadyTime::now();
    if (alive && connection == pendingConnection)
        promotePending();
    if (readable)
        return;
    close(connection == activeConnection ? activeConnection : pendingConnection);
    if (!pendingConnection)
        reconnectLater();
}

void WatchStream::promotePending() {
    close(activeConnection);
    activeConnection = std::exchange(pendingConnection, nullptr);
    failuresInRow = 0;
    silentInRow = 0;
    watchForSilence();
}

// A pending connection has less time than an active one; each in a row has longer, so that a slow
// peer is heard in the end.
SteadyTime::time_point WatchStream::silenceDeadline() const {
    const WatchTimeouts &timeouts = options.timeouts;
    if (!pendingConnection)
        return activeConnection->lastHeardAt + timeouts.silence;
    return pendingConnection->lastHeardAt +
           backedOff(timeouts.firstMessage, timeouts.silence, silentInRow, 1);
}

// After silence another connection is opened beside the active one, which may still deliver first.
void WatchStream::watchForSilence() {
    if (!pendingConnection && !activeConnection)
        return;
    silenceWatchdog.expires_at(silenceDeadline());
    silenceWatchdog.async_wait(callbacks.wrap([this](asio::error_code fault) {
        if (fault || (!pendingConnection && !activeConnection))
            return;
        if (SteadyTime::now() < silenceDeadline())
            return watchForSilence();
        if (pendingConnection)
            ++silentInRow;
        connect();
    }));
}

void WatchStream::reconnectLater() {
    const double drawn = double(random()) / 4294967296.0;
    const double part = kLeastBackoffPart + (1 - kLeastBackoffPart) * drawn;
    const WatchTimeouts &timeouts = options.timeouts;
    reconnectTimer.expires_after(
        backedOff(timeouts.minBackoff, timeouts.maxBackoff, failuresInRow++, part));
    reconnectTimer.async_wait(callbacks.wrap([this](asio::error_code fault) {
        if (!fault && !pendingConnection)
            connect();
    }));
}

}  // namespace deckcart::platform
