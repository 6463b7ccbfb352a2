#include "line_validator.hpp"

namespace deckcart::http {
namespace {

constexpr unsigned char kSpace = 0x20;
constexpr unsigned char kDelete = 0x7f;

}  // namespace

bool LineValidator::accept(char byte) {
    switch (state) {
    case State::lineStart:
        return acceptAtLineStart(byte);
    case State::fieldName:
        return acceptInName(byte);
    case State::text:
        return acceptInText(byte);
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

bool LineValidator::acceptAtLineStart(char byte) {
    if (byte == '\r') {
        state = State::afterCrOfEmptyLine;
        return !atStartLine;
    }
    // Rejects a folded line, a bare LF and a field with an empty name.
    if (byte == ' ' || byte == '\t' || byte == '\n' || byte == ':')
        return false;
    state = atStartLine ? State::text : State::fieldName;
    const auto code = static_cast<unsigned char>(byte);
    return code > kSpace && code != kDelete;
}

bool LineValidator::acceptInName(char byte) {
    if (byte == ':') {
        state = State::text;
        return true;
    }
    const auto code = static_cast<unsigned char>(byte);
    return code > kSpace && code < kDelete;
}

bool LineValidator::acceptInText(char byte) {
    if (byte == '\r') {
        state = State::afterCr;
        return true;
    }
    const auto code = static_cast<unsigned char>(byte);
    return byte == '\t' || (code >= kSpace && code != kDelete);
}

}  // namespace deckcart::http
