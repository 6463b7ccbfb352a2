#include "server_connection.hpp"

namespace deckcart::resp {

void Exchange::answer(std::string bytes) {
    if (answered)
        return;
    answered = true;
    reply = std::move(bytes);
    onGone = nullptr;
    if (const auto server = connection.lock())
        server->onAnswered();
}

PeerState Exchange::peerState() const {
    const auto server = connection.lock();
    return server && !answered ? server->checkPeer() : PeerState::closed;
}

void Exchange::refuse(std::string_view message) {
    if (answered || refusedAt)
        return;
    refusedAt = std::chrono::steady_clock::now();
    reply = error(message);
    onGone = nullptr;
}

void Exchange::abort() {
    answered = true;
    if (const auto server = connection.lock())
        server->close(net::CloseMode::reset);
}

}  // namespace deckcart::resp
