#include "line_guard.hpp"

namespace deckcart::http {
namespace {

constexpr unsigned char kSpace = 0x20;
constexpr unsigned char kDelete = 0x7f;

}  // namespace

bool LineGuard::accepts(char byte) {
    switch (state) {
    case State::lineStart:
        return acceptsAtLineStart(byte);
    case State::fieldName:
        return acceptsInName(byte);
    case State::text:
        return acceptsInText(byte);
    case State::afterCr:
        state = State::lineStart;
        atStartLine = false;
        return byte == '\n';
    case State::afterCrOfEmptyLine:
        emptyLineSeen = true;
        return byte == '\n';
    }
    return false;
}

bool LineGuard::acceptsAtLineStart(char byte) {
    if (byte == '\r') {
        state = State::afterCrOfEmptyLine;
        return !atStartLine;
    }
    // A folded line, a bare LF or a field without name.
    if (byte == ' ' || byte == '\t' || byte == '\n' || byte == ':')
        return false;
    state = atStartLine ? State::text : State::fieldName;
    const auto code = static_cast<unsigned char>(byte);
    return code > kSpace && code != kDelete;
}

bool LineGuard::acceptsInName(char byte) {
    if (byte == ':') {
        state = State::text;
        return true;
    }
    const auto code = static_cast<unsigned char>(byte);
    return code > kSpace && code < kDelete;
}

bool LineGuard::acceptsInText(char byte) {
    if (byte == '\r') {
        state = State::afterCr;
        return true;
    }
    const auto code = static_cast<unsigned char>(byte);
    return byte == '\t' || (code >= kSpace && code != kDelete);
}

}  // namespace deckcart::http
