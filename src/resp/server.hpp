// The listening side of RESP2 on Asio: accepts, reads commands within stated limits, answers each
// connection's in the order of its commands. What a command means is its owner's business.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>

#include "../base/clock.hpp"
#include "message.hpp"

namespace deckcart::resp {

// What may come through a door, each with what it guards against. Times are kept to kSweepEvery.
struct DoorLimits {
    std::size_t connections = 1024;  // beyond it who says nothing, or idles, makes room; else accepting waits
    Limits message;                  // a message over it: an error and the connection's end
    std::size_t pipelined = 64;      // commands of one connection in hand; the door reads on as they end
    std::size_t waitingBytes = 256 * 1024;  // of answers for a slow reader; the door reads on as they go
    Span silentFor = std::chrono::milliseconds(1500);      // from connecting to the first byte
    Span messageWithin = std::chrono::milliseconds(1500);  // from a command's first byte to its last
    Span idleFor = std::chrono::seconds(30);               // between commands
    Span pressedIdleFor = std::chrono::seconds(2);         // the same from half of the connections on
    Span slowPeerFor = std::chrono::seconds(5);          // a reader that takes nothing for so long is cut off
    Span refusalAfter = std::chrono::milliseconds(250);  // of what can't be served: floods that come back
    Span lingerFor = std::chrono::milliseconds(500);     // for a peer to read the last answer before the end
};

class ServerConnection;

// One command. Answered once; what is written after the peer has gone goes nowhere.
class Exchange {
  public:
    std::vector<std::string> args;
    std::function<void()> onGone;  // the peer has left before the answer

    bool open() const { return !answered && !connection.expired(); }
    void answer(std::string bytes);
    // It can't be served: an error, not at once, and nothing is read from this peer until then.
    void refuse(std::string_view words);
    void abort();  // cuts the connection

  private:
    friend class ServerConnection;
    std::weak_ptr<ServerConnection> connection;
    std::string reply;
    bool answered = false, refused = false;
};

class Door {
  public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;
    Door(asio::io_context &context, const asio::ip::tcp::endpoint &address, const DoorLimits &limits,
         Handler handler);
    ~Door();
    Door(const Door &) = delete;
    Door &operator=(const Door &) = delete;

    asio::ip::tcp::endpoint address() const;
    // Accepts no more and ends idle connections; commands in hand are answered, each with its connection
    // closed.
    void drain();
    std::size_t connections() const;

    struct Core;

  private:
    std::shared_ptr<Core> core;
};

}  // namespace deckcart::resp
