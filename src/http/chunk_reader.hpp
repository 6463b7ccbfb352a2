// Finds the end of a chunked body and checks its framing to the byte: sizes without white space or
// sign, exact ends of chunks, bounded extensions and trailers. Parser calls it before it hands the
// bytes to http_parser. RFC 9112, 7.1.
#pragma once

#include <cstdint>
#include <string_view>

#include "line_guard.hpp"
#include "message.hpp"

namespace deckcart::http {

/// Pure: knows only the bytes that it was given, in order.
class ChunkReader {
  public:
    /// @param maxLineBytes  bound of extensions and trailers, all of a body's together
    explicit ChunkReader(std::size_t maxLineBytes) : lineBytesLeft(maxLineBytes) {}

    /// Reads up to the end of the body or a fault; returns how many bytes that took. A byte at
    /// fault is not counted.
    [[nodiscard]] std::size_t feed(std::string_view bytes);
    bool done() const { return state == State::done; }
    Fault fault() const { return foundFault; }

  private:
    enum class State { size, extension, sizeLf, data, dataCr, dataLf, trailers, done };

    Fault readByte(char byte);
    Fault readSizeByte(char byte);
    Fault readExtensionByte(char byte);
    Fault readTrailerByte(char byte);
    Fault expect(char byte, char expected, State next);
    Fault endSizeLine(char byte);
    bool spendLineByte();

    State state = State::size;
    Fault foundFault = Fault::none;
    std::uint64_t chunkLeft = 0;  // bytes of the present chunk that have not come
    int sizeDigits = 0;
    std::size_t lineBytesLeft;
    LineGuard trailerGuard{LineGuard::First::fieldLine};
};

}  // namespace deckcart::http
