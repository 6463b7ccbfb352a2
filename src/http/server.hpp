// HTTP/1.1 server on Asio (RFC 9112): accepts connections, reads requests within configured limits
// and sends the responses in order. Used by the gateway, its API and the fakes, which handle the
// requests.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <set>

#include "../base/clock.hpp"
#include "../base/socket.hpp"
#include "parser.hpp"

namespace deckcart::http {

/// Limits of a listener. A request over a limit gets an early response with status 431, 413 or 408;
/// over the limit of connections, accepting pauses.
struct ListenerLimits {
    /// At this number of open connections the listener accepts no more until one has closed.
    std::size_t connections = 4096;
    std::size_t headBytes = 16 * 1024;    ///< of a request
    std::size_t bodyBytes = 1024 * 1024;  ///< of a request
    /// Bytes read ahead on a connection while a request is in flight; at the limit, reading pauses.
    std::size_t pipelinedBytes = 16 * 1024;
    /// Unsent bytes of a response beyond which the writer should pause.
    std::size_t waitingBytes = 256 * 1024;
    /// Time limit from a request's first byte to its last.
    Duration messageWithin = std::chrono::seconds(10);
    /// Longest time between requests.
    Duration idleFor = std::chrono::seconds(60);
    /// A connection is reset if its peer does not read one full write buffer within this time.
    Duration slowPeerFor = std::chrono::seconds(10);
};

class ServerConnection;

/// One received request and its response. The response is sent once: by answer(), or by begin(),
/// write() and end(). Writes after the peer has disconnected are ignored. Runs on the event loop's
/// thread only.
class Exchange {
  public:
    RequestHead head;  ///< of the request
    std::string body;  ///< of the request

    /// Whether the peer is connected and the response has not ended.
    bool open() const;
    /// Checks the socket for a close by the peer that was not read yet. If there is one, onGone is
    /// called from the event loop. `closed` unless open().
    PeerState peerState() const;
    /// Whether the response has started.
    bool answered() const { return started; }
    /// Sends a whole response.
    void answer(ResponseHead response, std::string_view text);
    /// Sends the head. The body is framed by `length` or `chunked` of the head; without either, the
    /// connection is closed at the end of the response.
    void begin(ResponseHead response);
    /// Sends a part of the body; bytes beyond the stated length are dropped.
    void write(std::string_view part);
    /// Ends the response. Resets the connection if the body is shorter than stated.
    void end();
    /// Resets the connection, for a response that can't be completed.
    void abort();
    /// Sends raw bytes after the end of the response. Violates the protocol; used to inject faults
    /// in scenarios.
    void writeAfterEnd(std::string_view bytes);
    /// Number of written bytes that the socket has not accepted yet.
    std::size_t waiting() const;
    std::function<void()> onGone;     ///< the connection closed before the response ended
    std::function<void()> onDrained;  ///< the socket has accepted all written bytes

  private:
    friend class ServerConnection;
    std::string makeHead(ResponseHead response);
    std::weak_ptr<ServerConnection> connection;
    bool started = false;
    bool ended = false;
    bool chunked = false;
    bool omitBody = false;
    bool hasLength = false;           // the response has a Content-Length
    std::uint64_t bodyBytesLeft = 0;  // of Content-Length, not written yet
};

/// Accepts connections on one address from construction until it is closed or destroyed, after
/// which the request handler is not called any more. Connections may outlive it until their pending
/// operations have ended. Runs on the event loop's thread only.
class Listener {
  public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;

    /// Throws std::system_error if it can't listen on the address.
    Listener(asio::io_context &context, const asio::ip::tcp::endpoint &address,
             ListenerLimits limits, Handler handler);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    asio::ip::tcp::endpoint address() const;
    /// Replaces the limits.
    void limit(const ListenerLimits &limits);
    /// Stops accepting and closes idle connections. Requests in flight are still answered; their
    /// connections are closed after the response.
    void drain();
    /// Stops accepting and resets all connections.
    void close();
    /// Number of open connections.
    std::size_t connections() const;

    struct Core;

  private:
    std::shared_ptr<Core> core;
};

}  // namespace deckcart::http
