// Exchange: frames and sends the response to one request (RFC 9112, section 6). The calls are valid
// after the peer has disconnected too.
#include <algorithm>
#include <array>
#include <charconv>

#include "head_checks.hpp"
#include "server_connection.hpp"

namespace deckcart::http {

bool Exchange::open() const {
    return !ended && !connection.expired();
}

PeerState Exchange::peerState() const {
    const auto server = connection.lock();
    return server && !ended ? server->checkPeer() : PeerState::closed;
}

void Exchange::answer(ResponseHead response, std::string_view text) {
    const auto server = connection.lock();
    if (started)
        return;
    response.length = text.size();
    std::string message = makeHead(std::move(response));
    if (!omitBody)
        message.append(text);
    bodyBytesLeft = 0;
    if (server)
        server->write(message);
    end();
}

void Exchange::begin(ResponseHead response) {
    if (started)
        return;
    const std::string text = makeHead(std::move(response));
    if (const auto server = connection.lock())
        server->write(text);
}

std::string Exchange::makeHead(ResponseHead response) {
    const auto server = connection.lock();
    started = true;
    if (head.isHttp10 && response.chunked) {  // HTTP/1.0 has no chunked coding
        response.chunked = false;
        head.keepAlive = false;
    }
    chunked = response.chunked && !omitBody;
    hasLength = response.length.has_value() && !omitBody;
    bodyBytesLeft = response.length.value_or(0);
    if (!statusAllowsBody(response.status)) {
        omitBody = true;
        hasLength = false;
        chunked = false;
        response.length.reset();
        response.chunked = false;
    }
    if (!response.length && !response.chunked && !omitBody)
        head.keepAlive = false;
    return http::write(response, !server || server->shouldCloseAfter(head));
}

void Exchange::write(std::string_view part) {
    const auto server = connection.lock();
    if (!server || ended || omitBody || part.empty())
        return;
    if (hasLength) {
        part = part.substr(0, std::size_t(std::min<std::uint64_t>(bodyBytesLeft, part.size())));
        bodyBytesLeft -= part.size();
    }
    if (!chunked)
        return server->write(part);
    std::array<char, 2 * sizeof(std::size_t)> digits{};
    const auto written =
        std::to_chars(digits.data(), digits.data() + digits.size(), part.size(), 16);
    std::string framed(digits.data(), written.ptr);
    framed.append("\r\n").append(part).append("\r\n");
    server->write(framed);
}

void Exchange::end() {
    const auto server = connection.lock();
    if (ended)
        return;
    ended = true;
    onGone = nullptr;
    onDrained = nullptr;
    if (!server)
        return;
    if (hasLength && bodyBytesLeft > 0)
        // The body is shorter than stated, which only a reset can signal.
        return server->close(net::CloseMode::reset);
    if (chunked)
        server->write("0\r\n\r\n");
    server->onResponseEnd(server->shouldCloseAfter(head));
}

void Exchange::abort() {
    const auto server = connection.lock();
    if (ended)
        return;
    ended = true;
    started = true;
    onGone = nullptr;
    onDrained = nullptr;
    if (server)
        server->close(net::CloseMode::reset);
}

void Exchange::writeAfterEnd(std::string_view bytes) {
    if (const auto server = connection.lock())
        server->write(bytes);
}

std::size_t Exchange::waiting() const {
    const auto server = connection.lock();
    return server ? server->pendingBytes() : 0;
}

}  // namespace deckcart::http
