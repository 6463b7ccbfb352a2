// One accepted connection: reads commands, hands each to the listener's handler as an Exchange and
// writes the answers in the commands' order. Made by Listener::Core, which also sweeps it for
// timeouts; connection_admission decides on those.
#pragma once

#include <deque>

#include "../net/stream_socket.hpp"
#include "listener_core.hpp"

namespace deckcart::resp {

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
  public:
    ServerConnection(std::shared_ptr<Listener::Core> owner, asio::ip::tcp::socket accepted);

    void read();

    // For its Exchanges.
    /// One of the commands in flight has been answered.
    void onAnswered();
    /// The first command that waits for its error gets it after the stated time.
    void onRefused();
    bool peerThere();
    void shut(net::CloseMode how);

    // For the listener.
    ConnectionState state(SteadyTime now) const;
    SteadyTime lastActive() const { return activeSince; }
    /// Bytes have come that this process has not read yet: that is not being silent.
    bool hasUnread();
    /// Ends it unless something of it is in flight, half read or unread: that is answered first.
    void drain();
    /// Does what a timeout that is up asks for.
    void sweep(SteadyTime now, bool underPressure);

  private:
    bool mayTakeUp() const;
    void readable();
    void onReadFault(asio::error_code fault);
    void feed(std::string_view bytes);
    std::shared_ptr<Exchange> addExchange();
    void resumeReadAhead();
    void fail(const std::string &message);
    void sendDueError();
    void write();
    void onAllWritten();
    void awaitWritable();
    void shutLater();
    void linger();

    std::shared_ptr<Listener::Core> listener;
    net::StreamSocket stream;
    Parser parser;
    std::deque<std::shared_ptr<Exchange>> pipeline;  // commands in flight, in order
    std::string readAhead;
    std::string outgoing;
    std::size_t writtenBytes = 0;    // of outgoing
    std::size_t discardedBytes = 0;  // of a peer's that was refused or is to close
    SteadyTime activeSince;
    SteadyTime commandSince{};   // the present command's first byte
    SteadyTime writeProgress{};  // when the peer last took something
    SteadyTime errorDueAt{};     // of the command that waits for its error; none: not set
    bool writing = false;
    bool faulty = false;  // what the peer sends can't be read any more
    bool lingering = false;
    bool spoke = false;
    bool unread = false;
    bool resumePosted = false;
    bool peerEnded = false;  // its sending, while an error was due to it
};

}  // namespace deckcart::resp
