#include "json_values.hpp"

#include <stdexcept>
#include <utility>

namespace deckcart::platform {
namespace {

bool isSpace(char c) {
    return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}
bool isOfWord(char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || c == '+' || c == '-' || c == '.' ||
           c == 'E';
}
[[noreturn]] void bad(const char *what) {
    throw std::invalid_argument(what);
}

}  // namespace

std::vector<std::string> JsonValues::feed(std::string_view bytes) {
    std::vector<std::string> out;
    for (const char c : bytes) {
        if (text.empty() && isSpace(c))
            continue;
        if (text.empty() && c != '{')
            bad("what comes is no JSON object");
        if (text.size() >= most)
            bad("a value is too long");
        text.push_back(c);
        byte(c);
        if (!open.empty())
            continue;
        out.push_back(std::exchange(text, {}));
        wants = Wants::value;
    }
    return out;
}

void JsonValues::byte(char c) {
    if (within == Within::escape)
        return void(within = Within::string);
    if (within == Within::string) {
        if (static_cast<unsigned char>(c) < 0x20)
            bad("a string holds a control character");
        if (c == '\\')
            within = Within::escape;
        else if (c == '"')
            within = Within::nothing, ended();
        return;
    }
    if (within == Within::word) {
        if (isOfWord(c))
            return;
        endWord();
    }
    if (!isSpace(c))
        begin(c);
}

void JsonValues::begin(char c) {
    const bool mayBeValue = wants == Wants::value || wants == Wants::valueOrEnd;
    const bool mayBeKey = wants == Wants::key || wants == Wants::keyOrEnd;
    const bool mayEnd = wants == Wants::commaOrEnd;
    if (c == '"' && (mayBeValue || mayBeKey))
        within = Within::string;
    else if (c == '{' && mayBeValue)
        open.push_back(c), wants = Wants::keyOrEnd;
    else if (c == '[' && mayBeValue)
        open.push_back(c), wants = Wants::valueOrEnd;
    else if (c == '}' && open.back() == '{' && (mayEnd || wants == Wants::keyOrEnd))
        open.pop_back(), ended();
    else if (c == ']' && open.back() == '[' && (mayEnd || wants == Wants::valueOrEnd))
        open.pop_back(), ended();
    else if (c == ':' && wants == Wants::colon)
        wants = Wants::value;
    else if (c == ',' && mayEnd)
        wants = open.back() == '{' ? Wants::key : Wants::value;
    else if (isOfWord(c) && mayBeValue)
        within = Within::word, wordAt = text.size() - 1;
    else
        bad("what comes is no JSON");
}

// A string, a word or what brackets hold has ended: a key waits for its value, all else for more or
// the end.
void JsonValues::ended() {
    const bool wasKey = wants == Wants::key || wants == Wants::keyOrEnd;
    const bool keyString = wasKey && text.back() == '"';
    wants = keyString ? Wants::colon : Wants::commaOrEnd;
}

void JsonValues::endWord() {
    const std::string_view word = std::string_view(text).substr(wordAt, text.size() - 1 - wordAt);
    const bool number = word[0] == '-' || (word[0] >= '0' && word[0] <= '9');
    if (!number && word != "true" && word != "false" && word != "null")
        bad("a word is no JSON");
    within = Within::nothing, wants = Wants::commaOrEnd;
}

}  // namespace deckcart::platform
