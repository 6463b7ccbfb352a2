// How one request is answered: framing of the answer (RFC 9112, 6), once, whether the peer is still
// there or not.
#include <algorithm>
#include <array>
#include <charconv>

#include "head_checks.hpp"
#include "server_connection.hpp"

namespace deckcart::http {

bool Exchange::open() const {
    return !ended && !connection.expired();
}

void Exchange::answer(ResponseHead what, std::string_view text) {
    const auto peer = connection.lock();
    if (begun)
        return;
    what.length = text.size();
    std::string whole = opening(std::move(what));
    if (!bodiless)
        whole.append(text);
    owed = 0;
    if (peer)
        peer->write(whole);
    end();
}

void Exchange::begin(ResponseHead what) {
    if (begun)
        return;
    const std::string text = opening(std::move(what));
    if (const auto peer = connection.lock())
        peer->write(text);
}

std::string Exchange::opening(ResponseHead what) {
    const auto peer = connection.lock();
    begun = true;
    if (head.old && what.chunked) {  // HTTP/1.0 knows no chunks
        what.chunked = false;
        head.keepAlive = false;
    }
    chunked = what.chunked && !bodiless;
    counted = what.length.has_value() && !bodiless;
    owed = what.length.value_or(0);
    if (!statusAllowsBody(what.status)) {
        bodiless = true;
        counted = false;
        chunked = false;
        what.length.reset();
        what.chunked = false;
    }
    if (!what.length && !what.chunked && !bodiless)
        head.keepAlive = false;
    return http::write(what, !peer || peer->closesAfter(head));
}

void Exchange::write(std::string_view part) {
    const auto peer = connection.lock();
    if (!peer || ended || bodiless || part.empty())
        return;
    if (counted) {
        part = part.substr(0, std::size_t(std::min<std::uint64_t>(owed, part.size())));
        owed -= part.size();
    }
    if (!chunked)
        return peer->write(part);
    std::array<char, 2 * sizeof(std::size_t)> digits{};
    const auto written =
        std::to_chars(digits.data(), digits.data() + digits.size(), part.size(), 16);
    std::string framed(digits.data(), written.ptr);
    framed.append("\r\n").append(part).append("\r\n");
    peer->write(framed);
}

void Exchange::end() {
    const auto peer = connection.lock();
    if (ended)
        return;
    ended = true;
    onGone = nullptr;
    onDrained = nullptr;
    if (!peer)
        return;
    if (counted && owed > 0)
        return peer->shut(net::CloseMode::reset);  // less than was stated: only a cut shows it
    if (chunked)
        peer->write("0\r\n\r\n");
    peer->onAnswerEnd(peer->closesAfter(head));
}

void Exchange::abort() {
    const auto peer = connection.lock();
    if (ended)
        return;
    ended = true;
    begun = true;
    onGone = nullptr;
    onDrained = nullptr;
    if (peer)
        peer->shut(net::CloseMode::reset);
}

void Exchange::writeAfterEnd(std::string_view bytes) {
    if (const auto peer = connection.lock())
        peer->write(bytes);
}

std::size_t Exchange::waiting() const {
    const auto peer = connection.lock();
    return peer ? peer->waiting() : 0;
}

}  // namespace deckcart::http
