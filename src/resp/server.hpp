// RESP2 server on Asio: accepts connections, reads commands within configured limits and sends the
// replies of each connection in the order of its commands. Used by the platform's downstream side,
// which handles the commands.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "../base/socket.hpp"
#include "connection_admission.hpp"

namespace deckcart::resp {

class ServerConnection;

/// What a listener holds at one moment, and counts since its construction.
struct ListenerStatistics {
    std::size_t incompleteCommands = 0;  ///< connections of which a command was read in part
    std::size_t bufferedBytes = 0;       ///< read ahead, and of replies that are not sent yet
    std::size_t commandBytes = 0;        ///< of commands read ahead, read in part and in flight
    std::size_t pendingErrors = 0;       ///< refused commands whose error is not sent yet
    Duration longestErrorWait{};         ///< of these, the longest time since the refusal
    std::uint64_t evictions = 0;         ///< connections closed in favor of new ones
    Duration longestAcceptWait{};        ///< longest time at the connection limit without accepting
};

/// One received command and its reply, which is sent once. A reply after the peer has disconnected
/// is ignored. Runs on the event loop's thread only.
class Exchange {
  public:
    std::vector<std::string> args;
    std::function<void()> onGone;  ///< the connection closed before the reply

    /// Whether the peer is connected and no reply was given.
    bool open() const { return !answered && !connection.expired(); }
    /// Checks the socket for a close by the peer that was not read yet. If there is one, onGone is
    /// called from the event loop. `closed` unless open().
    PeerState peerState() const;
    /// Sends a serialized reply.
    void answer(std::string bytes);
    /// Refuses the command: sends an error after `refusalDelay` of the limits. No further command
    /// of this connection is processed until then.
    void refuse(std::string_view message);
    /// Resets the connection.
    void abort();

  private:
    friend class ServerConnection;
    std::weak_ptr<ServerConnection> connection;
    std::string reply;
    std::size_t commandBytes = 0;  // of args, as received
    bool answered = false;
    std::optional<SteadyTime> refusedAt;  // of a refused command
};

/// Listens from construction to destruction. Runs on the event loop's thread only.
class Listener {
  public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;
    /// Listens at once, but accepts only after open(). Throws std::system_error if it can't listen
    /// on the address.
    Listener(asio::io_context &context, const asio::ip::tcp::endpoint &address,
             const ListenerLimits &limits, Handler handler);
    /// Asked at the connection limit whether one more connection may be accepted.
    using PlaceLender = std::function<bool()>;
    /// Accepts connections beyond the limit as far as the lender allows, if none can be evicted.
    void borrowPlaces(PlaceLender lender);
    /// Starts accepting. May be called once.
    void open();
    ~Listener();  // NOLINT(bugprone-exception-escape): see the definition
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    asio::ip::tcp::endpoint address() const;
    /// Accepts the connections in the backlog, and no more. Closes each connection when no command
    /// of it is in flight, read in part or unread. When all are closed, calls `onEmpty` from the
    /// event loop.
    void drain(std::function<void()> onEmpty);
    /// Number of open connections.
    std::size_t connections() const;
    ListenerStatistics statistics() const;

    struct Core;

  private:
    std::shared_ptr<Core> core;
};

}  // namespace deckcart::resp
