// Splits a byte stream into whole JSON objects, whatever the white space between their parts and
// wherever the bytes are cut. Used for discovery's watch. Pure.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace deckcart::platform {

/// What can't become an object is found at the byte that shows it, not at the object's end, which
/// may never come. Checks the structure; a JSON parser reads the values.
class JsonObjectSplitter {
  public:
    /// @param maxObjectBytes  of one object
    explicit JsonObjectSplitter(std::size_t maxObjectBytes) : maxBytes(maxObjectBytes) {}

    /// @return the objects that these bytes complete, in order
    /// Throws ParseError at a byte that fits no object, or past the bound; the state is undefined
    /// from then on.
    [[nodiscard]] std::vector<std::string> feed(std::string_view bytes);
    /// An object has begun and has not ended.
    [[nodiscard]] bool insideObject() const { return !object.empty(); }

  private:
    enum class Expected { value, valueOrEnd, key, keyOrEnd, colon, commaOrEnd };
    enum class Token { none, string, escape, word };

    void consume(char byte);
    void consumeInString(char byte);
    void beginToken(char byte);
    bool openBracket(char byte);
    bool closeBracket(char byte);
    void endValueOrKey();
    void endWord();

    std::size_t maxBytes;
    std::string object;  // the present one, as far as it has come
    std::string openBrackets;
    Expected expected = Expected::value;
    Token token = Token::none;
    std::size_t wordBegin = 0;
};

}  // namespace deckcart::platform
