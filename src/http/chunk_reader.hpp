// Finds the end of a chunked body and validates its framing strictly: chunk sizes are hexadecimal
// digits without white space or sign, each chunk ends with CR LF, and the length of extensions and
// trailers is limited. Parser runs it before it passes the bytes to http_parser. RFC 9112, 7.1.
#pragma once

#include <cstdint>
#include <string_view>

#include "line_validator.hpp"
#include "message.hpp"

namespace deckcart::http {

/// Incremental reader of one chunked body. Performs no I/O.
class ChunkReader {
  public:
    /// @param maxLineBytes  limit for all chunk extensions and trailers of the body together
    explicit ChunkReader(std::size_t maxLineBytes) : remainingLineBytes(maxLineBytes) {}

    /// Reads up to the end of the body or up to a fault and returns the number of bytes consumed.
    /// The byte that caused the fault is not counted.
    [[nodiscard]] std::size_t feed(std::string_view bytes);
    /// True once the last byte of the body was read.
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
    bool consumeLineByte();

    State state = State::size;
    Fault foundFault = Fault::none;
    std::uint64_t chunkBytesLeft = 0;  // bytes of the current chunk not received yet
    int sizeDigits = 0;
    std::size_t remainingLineBytes;
    LineValidator trailerValidator{LineValidator::FirstLine::fieldLine};
};

}  // namespace deckcart::http
