// HTTP/1.1 client connection on Asio. It carries one call at a time and counts the bytes passed to
// the socket, so that a caller knows whether the server may have processed the request. Used by
// Fetch, the gateway's transport and the fake clients.
#pragma once

#include <functional>
#include <memory>

#include "../net/client_socket.hpp"
#include "parser.hpp"

namespace deckcart::http {

using deckcart::CallEnd;

/// Callbacks of a call. onCallEnd is the last one.
class CallHandler {
  public:
    virtual ~CallHandler() = default;
    virtual void onResponseHead(const ResponseHead &head) = 0;
    virtual void onResponseBody(std::string_view part) = 0;
    virtual void onCallEnd(CallEnd outcome) = 0;
};

/// Owned by shared pointers; pending socket operations keep it alive. Single-threaded.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>,
                         private MessageHandler {
  public:
    ClientConnection(asio::io_context &context, std::size_t maxHeadBytes);

    /// Connects, unless connected already, then sends the request `bytes`. `newHandler` must stay
    /// valid until onCallEnd or drop(). Must not be called while another call is in flight.
    /// @param headRequest  the request's method is HEAD, so the response has no body
    void call(const asio::ip::tcp::endpoint &to, Duration connectTimeout, std::string bytes,
              bool headRequest, CallHandler *newHandler);
    /// Closes the connection at once without calling the handler.
    void drop();
    /// Stops reading until resume().
    void pause();
    void resume();

    /// Connected, idle and fit for another call.
    bool reusable() const {
        return stream.isConnected() && !handler && !stream.isClosed() && !mustClose;
    }
    /// Whether the socket accepted bytes of the current call.
    bool startedSending() const { return submittedBytes > 0; }
    /// Whether the peer sent bytes that belong to no call.
    bool spokeUnasked() const { return receivedUnsolicited; }

    std::function<void()> onIdleClosed;  ///< called after the connection was closed while idle
    Duration idleSince{};                ///< set and read by the owner, not used here

  private:
    bool onHead() override;
    void onBody(std::string_view part) override;
    void onEnd() override;
    void send();
    void sendRest();
    void read();
    void onReadable();
    void onReadError(asio::error_code fault);
    bool parseResponse(std::string_view &bytes);
    void finish(CallEnd outcome);
    void close();

    net::ClientSocket stream;
    Parser parser;
    CallHandler *handler = nullptr;
    std::string outgoing;
    std::size_t submittedBytes = 0;
    bool paused = false;
    bool isHeadRequest = false;
    bool requestSent = false;
    bool mustClose = false;  // received more than one response, or the peer will close
    bool receivedUnsolicited = false;
};

}  // namespace deckcart::http
