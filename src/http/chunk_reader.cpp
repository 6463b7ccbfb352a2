#include "chunk_reader.hpp"

#include <algorithm>
#include <optional>

namespace deckcart::http {
namespace {

// Limits a chunk to 4 GiB, so that the size cannot overflow; no well-behaved peer sends more.
constexpr int kMaxSizeDigits = 8;

std::optional<std::uint64_t> hexDigit(char byte) {
    if (byte >= '0' && byte <= '9')
        return byte - '0';
    if (byte >= 'a' && byte <= 'f')
        return byte - 'a' + 10;
    if (byte >= 'A' && byte <= 'F')
        return byte - 'A' + 10;
    return std::nullopt;
}

}  // namespace

std::size_t ChunkReader::feed(std::string_view bytes) {
    std::size_t consumed = 0;
    while (consumed < bytes.size() && state != State::done) {
        if (state == State::data) {
            const auto part = std::min<std::uint64_t>(chunkBytesLeft, bytes.size() - consumed);
            consumed += part;
            chunkBytesLeft -= part;
            if (chunkBytesLeft == 0)
                state = State::dataCr;
            continue;
        }
        foundFault = readByte(bytes[consumed]);
        if (foundFault != Fault::none)
            return consumed;
        ++consumed;
    }
    return consumed;
}

Fault ChunkReader::readByte(char byte) {
    switch (state) {
    case State::size:
        return readSizeByte(byte);
    case State::extension:
        return readExtensionByte(byte);
    case State::sizeLf:
        return endSizeLine(byte);
    case State::dataCr:
        return expect(byte, '\r', State::dataLf);
    case State::dataLf:
        return expect(byte, '\n', State::size);
    case State::trailers:
        return readTrailerByte(byte);
    case State::data:
    case State::done:
        break;
    }
    return Fault::malformed;
}

Fault ChunkReader::readSizeByte(char byte) {
    if (const auto digit = hexDigit(byte)) {
        if (++sizeDigits > kMaxSizeDigits)
            return Fault::malformed;
        chunkBytesLeft = chunkBytesLeft * 16 + *digit;
        return Fault::none;
    }
    if (sizeDigits == 0)
        return Fault::malformed;
    if (byte == '\r')
        state = State::sizeLf;
    else if (byte == ';')
        state = State::extension;
    else
        return Fault::malformed;
    return Fault::none;
}

Fault ChunkReader::readExtensionByte(char byte) {
    if (!consumeLineByte())
        return Fault::headTooLarge;
    if (byte == '\n' || byte == '\0')
        return Fault::malformed;
    if (byte == '\r')
        state = State::sizeLf;
    return Fault::none;
}

Fault ChunkReader::endSizeLine(char byte) {
    sizeDigits = 0;
    return expect(byte, '\n', chunkBytesLeft > 0 ? State::data : State::trailers);
}

Fault ChunkReader::readTrailerByte(char byte) {
    if (!consumeLineByte())
        return Fault::headTooLarge;
    if (!trailerValidator.accept(byte))
        return Fault::malformed;
    if (trailerValidator.isComplete())
        state = State::done;
    return Fault::none;
}

Fault ChunkReader::expect(char byte, char expected, State next) {
    if (byte != expected)
        return Fault::malformed;
    state = next;
    return Fault::none;
}

bool ChunkReader::consumeLineByte() {
    if (remainingLineBytes == 0)
        return false;
    --remainingLineBytes;
    return true;
}

}  // namespace deckcart::http
