#include "socket.hpp"

#include <poll.h>

namespace deckcart {

using asio::ip::tcp;

constexpr int kBacklog = 1024;  // connections of a burst that can wait to be accepted

// Any receive buffer has room for more than these, so that a close behind them has been received.
constexpr std::size_t kMaxObservableBytes = 16 * 1024;

void listenAt(tcp::acceptor &acceptor, const tcp::endpoint &address) {
    acceptor.open(address.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(address);
    acceptor.listen(kBacklog);
    acceptor.non_blocking(true);
}

void configureSocket(tcp::socket &socket) {
    asio::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
}

ReadState peekReadState(tcp::socket &socket) {
    char byte = 0;
    asio::error_code error;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (!error)
        return ReadState::bytes;
    return error == asio::error::would_block ? ReadState::nothing : ReadState::end;
}

PeerState peerState(tcp::socket &socket) {
    pollfd entry{socket.native_handle(), POLLRDHUP, 0};
    if (::poll(&entry, 1, 0) > 0)  // POLLERR and POLLHUP are reported, too
        return PeerState::closed;
    asio::error_code error;
    const std::size_t unread = socket.available(error);
    if (error)
        return PeerState::closed;
    return unread > kMaxObservableBytes ? PeerState::unknown : PeerState::connected;
}

void connectWithin(tcp::socket &socket, asio::steady_timer &timer, const tcp::endpoint &to,
                   Duration within, std::function<void(bool)> done) {
    timer.expires_after(within);
    timer.async_wait([done](asio::error_code error) {
        if (!error)
            done(false);
    });
    socket.async_connect(to, [&socket, &timer, done = std::move(done)](asio::error_code error) {
        // After a stall of this process, a successful connect may be handled past its time limit.
        // It counts as late too, since what was decided before the stall must not be sent now.
        const bool late = timer.expiry() <= std::chrono::steady_clock::now();
        timer.cancel();
        if (error || late)
            return done(false);
        configureSocket(socket);
        done(true);
    });
}

}  // namespace deckcart
