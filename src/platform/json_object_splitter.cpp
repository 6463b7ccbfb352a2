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

// Of a number, true, false or null.
bool isWordByte(char byte) {
    return isDigit(byte) || (byte >= 'a' && byte <= 'z') || byte == '+' || byte == '-' ||
           byte == '.' || byte == 'E';
}

[[noreturn]] void fail(const char *what) {
    throw ParseError({}, what);
}

}  // namespace

std::vector<std::string> JsonObjectSplitter::feed(std::string_view bytes) {
    std::vector<std::string> objects;
    for (const char byte : bytes) {
        if (object.empty() && isSpace(byte))
            continue;
        if (object.empty() && byte != '{')
            fail("what comes is no JSON object");
        if (object.size() >= maxBytes)
            fail("a value is too long");
        object.push_back(byte);
        consume(byte);
        if (!openBrackets.empty())
            continue;
        objects.push_back(std::exchange(object, {}));
        expected = Expected::value;
    }
    return objects;
}

void JsonObjectSplitter::consume(char byte) {
    if (token == Token::string || token == Token::escape)
        return consumeInString(byte);
    if (token == Token::word) {
        if (isWordByte(byte))
            return;
        endWord();
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
        fail("a string holds a control character");
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
    } else if (isWordByte(byte) && mayBeValue) {
        token = Token::word;
        wordBegin = object.size() - 1;
    } else {
        fail("what comes is no JSON");
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

// A string, a word or what brackets hold has ended: a key waits for its value, all else for more or
// the end.
void JsonObjectSplitter::endValueOrKey() {
    const bool keyExpected = expected == Expected::key || expected == Expected::keyOrEnd;
    const bool isKey = keyExpected && object.back() == '"';
    expected = isKey ? Expected::colon : Expected::commaOrEnd;
}

void JsonObjectSplitter::endWord() {
    const std::string_view word =
        std::string_view(object).substr(wordBegin, object.size() - 1 - wordBegin);
    const bool isNumber = word[0] == '-' || isDigit(word[0]);
    if (!isNumber && word != "true" && word != "false" && word != "null")
        fail("a word is no JSON");
    token = Token::none;
    expected = Expected::commaOrEnd;
}

}  // namespace deckcart::platform
