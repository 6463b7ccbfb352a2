#include "client_socket.hpp"

namespace deckcart::net {

ClientSocket::ClientSocket(asio::io_context &context) : StreamSocket(context), timer(context) {}

bool ClientSocket::closeAndEndCall() {
    if (!close(CloseMode::graceful))
        return false;
    connected = false;
    ++currentCall;
    timer.cancel();
    return true;
}

}  // namespace deckcart::net
