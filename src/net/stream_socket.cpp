#include "stream_socket.hpp"

namespace deckcart::net {

bool StreamSocket::close(Closing how) {
    if (closed)
        return false;
    closed = true;
    asio::error_code ignored;
    if (how == Closing::reset)
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
    return true;
}

}  // namespace deckcart::net
