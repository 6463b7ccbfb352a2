// The calling side of HTTP/1.1 on Asio: one connection that carries one call at a time, with what
// was handed to the socket counted, so that a caller knows whether a call may have run.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>

#include "../base/socket.hpp"
#include "parser.hpp"

namespace deckcart::http {

using deckcart::CallEnd;

// What a call tells its owner. After onEnd nothing more comes.
class CallHandler {
  public:
    virtual ~CallHandler() = default;
    virtual void onResponseHead(const ResponseHead &head) = 0;
    virtual void onResponseBody(std::string_view part) = 0;
    virtual void onCallEnd(CallEnd outcome) = 0;
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection>,
                         private MessageHandler {
  public:
    ClientConnection(asio::io_context &context, std::size_t mostHeadBytes);

    // Connects within the time if it is not connected, then sends. The sink stays valid until
    // onCallEnd or drop().
    void call(const asio::ip::tcp::endpoint &to, Duration connectWithin, std::string bytes,
              bool isHead, CallHandler *owner);
    void drop();  // forgets the sink and closes at once
    void pause();
    void resume();

    bool reusable() const { return connected && !sink && !closed && !tainted; }
    bool startedSending() const {
        return handed > 0;
    }                                              // bytes of the present call that the socket took
    bool spokeUnasked() const { return unasked; }  // bytes came that belong to no call
    std::function<void()> onIdleClosed;            // the peer has closed it while idle
    Duration idleSince{};

  private:
    bool onHead() override;
    void onBody(std::string_view part) override;
    void onEnd() override;
    void send();
    void read();
    void readable();
    void finish(CallEnd outcome);
    void shut();

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    Parser parser;
    CallHandler *sink = nullptr;
    std::string outgoing;
    std::size_t handed = 0;
    bool connected = false, closed = false, reading = false, paused = false, headCall = false,
         sentAll = false;
    bool tainted = false;  // more came than one answer, or the peer wants to close
    bool unasked = false;
    std::uint64_t callNo = 0;
};

}  // namespace deckcart::http
