#include "server_connection.hpp"

namespace deckcart::resp {

void Exchange::answer(std::string bytes) {
    if (answered)
        return;
    answered = true;
    reply = std::move(bytes);
    onGone = nullptr;
    if (const auto peer = connection.lock())
        peer->onAnswered();
}

bool Exchange::peerThere() const {
    const auto peer = connection.lock();
    return peer && peer->peerThere();
}

void Exchange::refuse(std::string_view words) {
    if (answered || refused)
        return;
    refused = true;
    reply = error(words);
    onGone = nullptr;
    if (const auto peer = connection.lock())
        peer->onRefused();
}

void Exchange::abort() {
    answered = true;
    if (const auto peer = connection.lock())
        peer->shut(net::CloseMode::reset);
}

}  // namespace deckcart::resp
