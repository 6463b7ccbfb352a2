// Strict line syntax of message heads and trailers (RFC 9112, sections 2.2 and 5), checked by
// Parser and ChunkReader on the same bytes that http_parser reads. Rejects what http_parser accepts
// and different recipients may interpret differently (request smuggling), such as bare LF, folded
// lines and white space in field names.
#pragma once

namespace deckcart::http {

/// Incremental validator of the lines up to the empty line that ends them. Performs no I/O.
class LineValidator {
  public:
    /// What the first line is: the start line of a head or a field line of trailers.
    enum class FirstLine { startLine, fieldLine };
    explicit LineValidator(FirstLine firstLine) : atStartLine(firstLine == FirstLine::startLine) {}

    /// Consumes the next byte. Returns false if the byte is not allowed at this position; the
    /// validator must not be used after that.
    [[nodiscard]] bool accept(char byte);
    /// True once the empty line that ends the head or trailers was read.
    bool isComplete() const { return emptyLineSeen; }

  private:
    enum class State { lineStart, fieldName, text, afterCr, afterCrOfEmptyLine };

    bool acceptAtLineStart(char byte);
    bool acceptInName(char byte);
    bool acceptInText(char byte);

    State state = State::lineStart;
    bool atStartLine;
    bool emptyLineSeen = false;
};

}  // namespace deckcart::http
