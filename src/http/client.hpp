// The calling side of HTTP/1.1 on Asio: one connection that carries one call at a time, with what
// was handed to the socket counted, so that a caller knows whether a call may have run. Used by
// Fetch, the gateway's transport and the fake clients.
#pragma once

#include <functional>
#include <memory>

#include "../net/client_socket.hpp"
#include "parser.hpp"

namespace deckcart::http {

using deckcart::CallEnd;

/// What a call reports. After onCallEnd nothing more comes.
class CallHandler {
  public:
    virtual ~CallHandler() = default;
    virtual void onResponseHead(const ResponseHead &head) = 0;
    virtual void onResponseBody(std::string_view part) = 0;
    virtual void onCallEnd(CallEnd outcome) = 0;
};

/// Held by shared pointers: operations on its socket keep it alive. One thread.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>,
                         private MessageHandler {
  public:
    ClientConnection(asio::io_context &context, std::size_t maxHeadBytes);

    /// Connects within the time if it is not connected, then sends. The handler stays valid until
    /// onCallEnd or drop(). Not while another call is under way.
    void call(const asio::ip::tcp::endpoint &to, Duration connectWithin, std::string bytes,
              bool isHead, CallHandler *callHandler);
    /// Forgets the handler and closes at once.
    void drop();
    /// Reads nothing until resume().
    void pause();
    void resume();

    bool reusable() const {
        return stream.isConnected() && !handler && !stream.isClosed() && !tainted;
    }
    /// The socket took bytes of the present call.
    bool startedSending() const { return handedBytes > 0; }
    /// Bytes came that belong to no call.
    bool spokeUnasked() const { return unasked; }

    std::function<void()> onIdleClosed;  ///< the peer has closed it while idle
    Duration idleSince{};                ///< set and read by its owner

  private:
    bool onHead() override;
    void onBody(std::string_view part) override;
    void onEnd() override;
    void send();
    void sendRest();
    void read();
    void readable();
    void onReadFault(asio::error_code fault);
    bool readResponse(std::string_view &bytes);
    void finish(CallEnd outcome);
    void shut();

    net::ClientSocket stream;
    Parser parser;
    CallHandler *handler = nullptr;
    std::string outgoing;
    std::size_t handedBytes = 0;
    bool paused = false;
    bool headCall = false;  // the request's method is HEAD
    bool sentAll = false;
    bool tainted = false;  // more came than one response, or the peer wants to close
    bool unasked = false;
};

}  // namespace deckcart::http
