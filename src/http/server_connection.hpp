// One accepted connection: reads requests one after another, hands each to the listener's handler
// as an Exchange and writes what that answers. Made by Listener::Core. RFC 9112, 9.
#pragma once

#include "../net/stream_socket.hpp"
#include "listener_core.hpp"

namespace deckcart::http {

class ServerConnection : public std::enable_shared_from_this<ServerConnection>,
                         private MessageHandler {
  public:
    ServerConnection(std::shared_ptr<Listener::Core> owner, asio::ip::tcp::socket accepted);

    void start();

    // For the present Exchange.
    void write(std::string_view bytes);
    /// Bytes that were written and that the socket has not taken yet.
    std::size_t waiting() const;
    /// The present answer is whole.
    void onAnswerEnd(bool closeAfter);
    bool closesAfter(const RequestHead &head) const;

    // For the listener.
    /// Closes it if it is idle.
    void drain();
    void shut(net::CloseMode how);

  private:
    bool onHead() override;
    void onBody(std::string_view part) override;
    void onEnd() override {}  // dispatched once the parser has returned

    void shutLater();
    void read();
    void readable();
    void consume(std::string_view bytes);
    bool refuseFaulty();
    void dispatch();
    void refuse(int status, std::string_view message);
    void lingerThenClose();
    void discardInput();
    void nextRequest();
    void flush();
    void onFlushed();
    void watch(Duration within);
    void onTimeout();

    std::shared_ptr<Listener::Core> listener;
    net::StreamSocket stream;
    asio::steady_timer timer;
    Parser parser;
    std::shared_ptr<Exchange> building;  // its request is being read
    std::shared_ptr<Exchange> current;   // its answer is under way
    std::string readAhead;               // came while an answer was under way
    std::string queued;
    std::string inFlight;
    bool writing = false;        // inFlight is being written
    bool answerWritten = false;  // the answer is whole, not all of it is taken yet
    bool closing = false;        // no further request is read
    bool refused = false;
};

}  // namespace deckcart::http
