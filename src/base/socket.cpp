#include "socket.hpp"

namespace deckcart {

using asio::ip::tcp;

constexpr int kBacklog = 1024;  // connections of a burst that wait to be accepted

void listenAt(tcp::acceptor &acceptor, const tcp::endpoint &address) {
    acceptor.open(address.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(address);
    acceptor.listen(kBacklog);
    acceptor.non_blocking(true);
}

void settle(tcp::socket &socket) {
    asio::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
}

Unread peek(tcp::socket &socket) {
    char byte = 0;
    asio::error_code fault;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, fault);
    if (!fault)
        return Unread::bytes;
    return fault == asio::error::would_block ? Unread::nothing : Unread::end;
}

void connectWithin(tcp::socket &socket, asio::steady_timer &timer, const tcp::endpoint &to,
                   Duration within, std::function<void(bool)> done) {
    timer.expires_after(within);
    timer.async_wait([done](asio::error_code fault) {
        if (!fault)
            done(false);
    });
    socket.async_connect(to, [&socket, &timer, done = std::move(done)](asio::error_code fault) {
        // Read after its bound, as after a stall of this process, it is late as well: what was
        // decided then is not sent now.
        const bool late = timer.expiry() <= std::chrono::steady_clock::now();
        timer.cancel();
        if (fault || late)
            return done(false);
        settle(socket);
        done(true);
    });
}

}  // namespace deckcart
