// The listening side of HTTP/1.1 on Asio: accepts, reads requests within stated limits, answers
// them in order. The gateway, its API and the fakes all listen by it; what a request means is its
// owner's business. RFC 9112.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <set>

#include "../base/clock.hpp"
#include "parser.hpp"

namespace deckcart::http {

/// What may come through a listener. What goes over is refused early: 431, 413, 408, or accepting
/// pauses.
struct ListenerLimits {
    /// Beyond it the listener stops accepting until one has closed.
    std::size_t connections = 4096;
    std::size_t headBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    /// Read ahead while a request is in flight; then the listener stops reading.
    std::size_t pipelinedBytes = 16 * 1024;
    /// Of an answer for a slow reader: a writer should pause beyond.
    std::size_t waitingBytes = 256 * 1024;
    /// From a request's first byte to its last.
    Duration messageWithin = std::chrono::seconds(10);
    /// Between requests.
    Duration idleFor = std::chrono::seconds(60);
    /// A reader that takes nothing for so long is cut off.
    Duration slowPeerFor = std::chrono::seconds(10);
};

class ServerConnection;

/// One request on the listening side. Answered once: by answer(), or by begin(), write() and end().
/// What is written after the peer has gone goes nowhere. One thread, the loop's.
class Exchange {
  public:
    RequestHead head;
    std::string body;

    /// The peer is there and no final answer has ended.
    bool open() const;
    bool answered() const { return begun; }
    /// The whole answer at once.
    void answer(ResponseHead what, std::string_view text);
    /// Framing by what.length or what.chunked; without either the end of the connection ends the
    /// answer.
    void begin(ResponseHead what);
    void write(std::string_view part);
    void end();
    /// Cuts the connection with a reset: the answer can't be completed.
    void abort();
    /// After the end: breaks the protocol, for the faults of scenarios.
    void writeAfterEnd(std::string_view bytes);
    /// Bytes that the peer has not taken yet.
    std::size_t waiting() const;
    std::function<void()> onGone;     ///< the peer has left before the answer's end
    std::function<void()> onDrained;  ///< what was waiting has been taken

  private:
    friend class ServerConnection;
    std::string opening(ResponseHead what);
    std::weak_ptr<ServerConnection> connection;
    bool begun = false;
    bool ended = false;
    bool chunked = false;
    bool bodiless = false;
    bool counted = false;    // the answer states its length,
    std::uint64_t owed = 0;  // of which so many bytes were not written yet
};

/// Accepts on one address from its construction until closed. Connections outlive it until their
/// handlers have run; the handler is not called any more. One thread, the loop's.
class Listener {
  public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;

    /// Throws std::system_error where it can't listen.
    Listener(asio::io_context &context, const asio::ip::tcp::endpoint &address,
             ListenerLimits limits, Handler handler);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    asio::ip::tcp::endpoint address() const;
    void limit(const ListenerLimits &limits);
    /// Accepts no more and ends idle connections; requests in flight are answered, each with its
    /// connection closed.
    void drain();
    /// Cuts everything at once.
    void close();
    std::size_t connections() const;

    struct Core;

  private:
    std::shared_ptr<Core> core;
};

}  // namespace deckcart::http
