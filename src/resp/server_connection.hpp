// Server side of one accepted connection: reads commands, passes each to the listener's handler as
// an Exchange and writes the replies in the order of the commands. Created by Listener::Core, which
// also calls sweep() periodically; connection_admission decides on timeouts.
#pragma once

#include <deque>

#include "../base/byte_queue.hpp"
#include "../net/stream_socket.hpp"
#include "listener_core.hpp"

namespace deckcart::resp {

/// Owned by shared pointers; pending operations keep it alive. Single-threaded.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
  public:
    ServerConnection(std::shared_ptr<Listener::Core> owner, asio::ip::tcp::socket accepted);

    /// Waits for input, unless a limit is reached.
    void read();

    // Called by its Exchanges.
    /// Sends the replies at the front of the pipeline, after a command was answered.
    void onAnswered();
    /// Whether the peer is there. If it has closed its side, the connection is closed later, from
    /// the event loop.
    PeerState checkPeer();
    void close(net::CloseMode how);

    // Called by the listener.
    ConnectionState state(SteadyTime now) const;
    SteadyTime lastActive() const { return lastActiveTime; }
    /// Bytes read ahead and bytes of replies that the socket has not accepted yet.
    std::size_t bufferedBytes() const { return readAhead.size() + outgoing.size(); }
    /// The time since a command was refused whose error is not sent yet; nullopt if there is none.
    std::optional<Duration> errorWait(SteadyTime now) const;
    /// Whether the socket holds unread bytes. Such a connection is not evicted as silent or idle.
    bool checkUnreadBytes();
    /// Bytes of commands held: read ahead, read in part and in flight.
    std::size_t commandBytes() const { return countedBytes; }
    /// Closes the connection unless a command is in flight, read in part or unread; such commands
    /// are answered first.
    void drain();
    /// Performs the action for an expired timeout, if any.
    void sweep(SteadyTime now, bool underPressure);

  private:
    /// The refused command whose error is not sent yet, or null. There is at most one, the last of
    /// the pipeline: no command is taken behind it until its error is due.
    Exchange *pendingRefusal() const;
    bool canAcceptCommand() const;
    void onReadable();
    void onReadError(asio::error_code fault);
    void onPeerClosed();
    /// Takes one command from the bytes read ahead, and schedules the next one for a later turn of
    /// the event loop, so that other connections are served between them.
    void processReadAhead();
    /// Parses up to the end of one command and passes it to the handler.
    void takeCommand();
    bool mayProcessReadAhead() const;
    std::shared_ptr<Exchange> addExchange();
    /// The most bytes that may be read now, within the limits of this connection and of all.
    std::size_t readCapacity() const;
    /// Counts the bytes of commands that are held now.
    void countCommandBytes();
    void resumeInput();
    void scheduleReadAhead();
    void fail(const std::string &message);
    void sendDueError();
    void write();
    void onAllWritten();
    void awaitWritable();
    void closeLater();
    void linger();

    std::shared_ptr<Listener::Core> listener;
    net::StreamSocket stream;
    Parser parser;
    std::deque<std::shared_ptr<Exchange>> pipeline;  // commands in flight, in order
    ByteQueue readAhead;                             // received and not parsed yet
    ByteQueue outgoing;
    std::size_t countedBytes = 0;  // of commands, as counted for the listener
    std::size_t commandsSinceSweep = 0;
    std::size_t discardedBytes = 0;  // of the peer, after invalid input or while closing
    SteadyTime lastActiveTime;
    SteadyTime commandStartTime{};   // when the current command's first byte was read
    SteadyTime lastWriteProgress{};  // when the socket last accepted bytes
    bool writing = false;            // waits until the socket is writable
    bool inputFaulty = false;        // invalid input was received; further input is discarded
    bool lingering = false;          // sending side shut down, waiting for the peer to close
    bool receivedAny = false;        // bytes were read
    bool hasUnreadBytes = false;     // the socket holds bytes that were not read yet
    bool readAheadScheduled = false;
    bool peerClosedSending = false;  // closed its side while a delayed error was pending
};

}  // namespace deckcart::resp
