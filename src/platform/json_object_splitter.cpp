#include "json_object_splitter.hpp"

#include <utility>

#include "../base/parse_error.hpp"

namespace deckcart::platform {
namespace {

constexpr unsigned char kFirstPrintable = 0x20;

bool isSpace(char byte) {
    return byte == ' ' || byte == '\t' || byte == '\n' || byte == '\r';
}

bool isDigit(char byte) {
    return byte >= '0' && byte <= '9';
}

// A byte of a number, true, false or null.
bool isScalarByte(char byte) {
    return isDigit(byte) || (byte >= 'a' && byte <= 'z') || byte == '+' || byte == '-' ||
           byte == '.' || byte == 'E';
}

[[noreturn]] void fail(const char *message) {
    throw ParseError({}, message);
}

}  // namespace

std::vector<std::string> JsonObjectSplitter::consume(std::string_view bytes) {
    std::vector<std::string> objects;
    for (const char byte : bytes) {
        if (object.empty() && isSpace(byte))
            continue;
        if (object.empty() && byte != '{')
            fail("expected a JSON object");
        if (object.size() >= maxBytes)
            fail("JSON object exceeds the size limit");
        object.push_back(byte);
        consumeByte(byte);
        if (!openBrackets.empty())
            continue;
        objects.push_back(std::exchange(object, {}));
        expected = Expected::value;
    }
    return objects;
}

void JsonObjectSplitter::consumeByte(char byte) {
    if (token == Token::string || token == Token::escape)
        return consumeInString(byte);
    if (token == Token::scalar) {
        if (isScalarByte(byte))
            return;
        endScalar();
    }
    if (!isSpace(byte))
        beginToken(byte);
}

void JsonObjectSplitter::consumeInString(char byte) {
    if (token == Token::escape) {
        token = Token::string;
        return;
    }
    if (static_cast<unsigned char>(byte) < kFirstPrintable)
        fail("JSON string contains an unescaped control character");
    if (byte == '\\') {
        token = Token::escape;
    } else if (byte == '"') {
        token = Token::none;
        endValueOrKey();
    }
}

void JsonObjectSplitter::beginToken(char byte) {
    const bool mayBeValue = expected == Expected::value || expected == Expected::valueOrEnd;
    const bool mayBeKey = expected == Expected::key || expected == Expected::keyOrEnd;
    if (openBracket(byte) || closeBracket(byte))
        return;
    if (byte == '"' && (mayBeValue || mayBeKey)) {
        token = Token::string;
    } else if (byte == ':' && expected == Expected::colon) {
        expected = Expected::value;
    } else if (byte == ',' && expected == Expected::commaOrEnd) {
        expected = openBrackets.back() == '{' ? Expected::key : Expected::value;
    } else if (isScalarByte(byte) && mayBeValue) {
        token = Token::scalar;
        scalarBegin = object.size() - 1;
    } else {
        fail("unexpected character in JSON");
    }
}

bool JsonObjectSplitter::openBracket(char byte) {
    const bool mayBeValue = expected == Expected::value || expected == Expected::valueOrEnd;
    if (!mayBeValue || (byte != '{' && byte != '['))
        return false;
    openBrackets.push_back(byte);
    expected = byte == '{' ? Expected::keyOrEnd : Expected::valueOrEnd;
    return true;
}

bool JsonObjectSplitter::closeBracket(char byte) {
    if (byte != '}' && byte != ']')
        return false;
    const bool isObject = byte == '}';
    const Expected whenEmpty = isObject ? Expected::keyOrEnd : Expected::valueOrEnd;
    const bool matches = openBrackets.back() == (isObject ? '{' : '[');
    if (!matches || (expected != Expected::commaOrEnd && expected != whenEmpty))
        return false;
    openBrackets.pop_back();
    endValueOrKey();
    return true;
}

// Called at the end of a string, object or array. After a key a colon must follow, after a value a
// comma or the closing bracket.
void JsonObjectSplitter::endValueOrKey() {
    const bool keyExpected = expected == Expected::key || expected == Expected::keyOrEnd;
    const bool isKey = keyExpected && object.back() == '"';
    expected = isKey ? Expected::colon : Expected::commaOrEnd;
}

void JsonObjectSplitter::endScalar() {
    const std::string_view scalar =
        std::string_view(object).substr(scalarBegin, object.size() - 1 - scalarBegin);
    const bool isNumber = scalar[0] == '-' || isDigit(scalar[0]);
    if (!isNumber && scalar != "true" && scalar != "false" && scalar != "null")
        fail("invalid JSON literal");
    token = Token::none;
    expected = Expected::commaOrEnd;
}

}  // namespace deckcart::platform
