// Server side of one accepted connection (RFC 9112, section 9): reads requests one after another,
// passes each to the listener's handler as an Exchange and writes its response. Created by
// Listener::Core.
#pragma once

#include "../net/stream_socket.hpp"
#include "listener_core.hpp"

namespace deckcart::http {

/// Owned by shared pointers; pending operations keep it alive. Single-threaded.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>,
                         private MessageHandler {
  public:
    ServerConnection(std::shared_ptr<Listener::Core> owner, asio::ip::tcp::socket accepted);

    void start();

    // Called by the current Exchange.
    void write(std::string_view bytes);
    /// Number of written bytes that the socket has not accepted yet.
    std::size_t pendingBytes() const;
    /// Whether the peer is there. If it has closed its side, the connection is closed later, from
    /// the event loop.
    PeerState checkPeer();
    /// Reports that the current response has been written completely.
    void onResponseEnd(bool closeAfter);
    /// Whether the connection closes after the response to this request.
    bool shouldCloseAfter(const RequestHead &head) const;

    // Called by the listener.
    /// Closes the connection if it is idle.
    void drain();
    void close(net::CloseMode how);

  private:
    bool onHead() override;
    void onBody(std::string_view part) override;
    void onEnd() override {}  // processInput() dispatches once the parser has returned

    void closeLater();
    void read();
    void onReadable();
    void processInput(std::string_view bytes);
    bool refuseOnFault();
    void dispatch();
    void refuse(int status, std::string_view message);
    void lingerThenClose();
    void discardInput();
    void startNextRequest();
    void flush();
    void onFlushed();
    void setTimeout(Duration timeout);
    void onTimeout();

    std::shared_ptr<Listener::Core> listener;
    net::StreamSocket stream;
    asio::steady_timer timer;
    Parser parser;
    std::shared_ptr<Exchange> receivingExchange;  // its request is being read
    std::shared_ptr<Exchange> currentExchange;  // handled by the owner; its response is in progress
    std::string readAhead;                      // received while a response was in progress
    std::string sendQueue;                      // waits for the current write
    std::string sendBuffer;                     // passed to async_write
    bool writing = false;                       // async_write is pending
    bool responseComplete = false;              // the response has ended, not all of it is sent yet
    bool closing = false;                       // close after the current response
    bool refused = false;  // the input is discarded: a request was refused by refuse()
};

}  // namespace deckcart::http
