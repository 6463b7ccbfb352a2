// The listening side of HTTP/1.1 on Asio: accepts, reads requests within stated limits, answers
// them in order. The gateway, its API and the stand-ins all stand behind this listener; what a
// request means is its owner's business.
#pragma once

#include <asio.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <set>

#include "../base/clock.hpp"
#include "parser.hpp"

namespace deckcart::http {

// What may come through a listener. What goes over is refused early: 431, 413, 408, or accepting
// pauses.
struct ListenerLimits {
    std::size_t connections = 4096;  // beyond it the listener stops accepting until one has closed
    std::size_t headBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    std::size_t pipelinedBytes =
        16 * 1024;  // read ahead while a request is in hand; then the listener stops reading
    std::size_t waitingBytes =
        256 * 1024;  // of an answer for a slow reader: a writer should pause beyond
    Duration messageWithin = std::chrono::seconds(10);  // from a request's first byte to its last
    Duration idleFor = std::chrono::seconds(60);        // between requests
    Duration slowPeerFor =
        std::chrono::seconds(10);  // a reader that takes nothing for so long is cut off
};

class ServerConnection;

// One request on the listening side. Answered once: by answer(), or by begin(), write() and end().
// What is written after the peer has gone goes nowhere.
class Exchange {
  public:
    RequestHead head;
    std::string body;

    bool open() const;  // the peer is there and no final answer has ended
    bool answered() const { return begun; }
    void answer(ResponseHead what, std::string_view text);
    // Framing by what.length or what.chunked; without either the end of the connection ends the
    // answer.
    void begin(ResponseHead what);
    void write(std::string_view part);
    void end();
    void abort();  // cuts the connection: the answer can't be completed
    void writeBehind(
        std::string_view bytes);   // after the end: breaks the protocol, for faults in rehearsals
    std::size_t waiting() const;   // bytes that the peer has not taken yet
    std::function<void()> onGone;  // the peer has left before the answer's end
    std::function<void()> onDrained;  // what was waiting has been taken

  private:
    friend class ServerConnection;
    std::string opening(ResponseHead what);
    std::weak_ptr<ServerConnection> connection;
    bool begun = false, ended = false, chunked = false, bodiless = false;
    std::uint64_t owed = 0;  // of a stated length
    bool counted = false;
};

// Accepts on one address until closed. Lives as long as its io_context runs its handlers.
class Listener {
  public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;

    Listener(asio::io_context &context, const asio::ip::tcp::endpoint &address,
             ListenerLimits limits, Handler handler);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    asio::ip::tcp::endpoint address() const;
    void limit(const ListenerLimits &limits);
    // Accepts no more and ends idle connections; requests in hand are answered, each with its
    // connection closed.
    void drain();
    // Cuts everything at once.
    void close();
    std::size_t connections() const;

    struct Core;

  private:
    std::shared_ptr<Core> core;
};

}  // namespace deckcart::http
