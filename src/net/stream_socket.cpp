#include "stream_socket.hpp"

namespace deckcart::net {

PeerState StreamSocket::peerState() {
    return closed ? PeerState::closed : deckcart::peerState(socket);
}

bool StreamSocket::close(CloseMode how) {
    if (closed)
        return false;
    closed = true;
    asio::error_code ignored;
    if (how == CloseMode::reset)
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
    return true;
}

}  // namespace deckcart::net
