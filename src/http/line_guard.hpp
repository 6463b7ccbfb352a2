// Checks the lines of a head or of trailers byte by byte, beside the parser that reads them:
// refuses what http_parser lets through although two readers could take it in two ways. Used by
// Parser and ChunkReader. RFC 9112, 2.2 and 5.
#pragma once

namespace deckcart::http {

/// Pure: knows only the bytes that it was given, in order.
class LineGuard {
  public:
    /// Whether the first line is a start line (a head) or a field line (trailers).
    enum class First { startLine, fieldLine };
    explicit LineGuard(First first) : atStartLine(first == First::startLine) {}

    /// Takes the next byte; false if it is one that a sound peer would not write there. After that
    /// the guard is of no more use.
    [[nodiscard]] bool accepts(char byte);
    /// The empty line that ends the lines has come.
    bool ended() const { return emptyLineSeen; }

  private:
    enum class State { lineStart, fieldName, text, afterCr, afterCrOfEmptyLine };

    bool acceptsAtLineStart(char byte);
    bool acceptsInName(char byte);
    bool acceptsInText(char byte);

    State state = State::lineStart;
    bool atStartLine;
    bool emptyLineSeen = false;
};

}  // namespace deckcart::http
