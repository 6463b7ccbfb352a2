// Splits a byte stream into complete JSON objects, independent of white space and of how the bytes
// are divided into reads. Used for the watch on the endpoint list. Performs no I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace deckcart::platform {

/// Reports invalid input at the first byte that cannot belong to an object, rather than at the end
/// of the object, which may never arrive. Checks the structure only; the values are left to a JSON
/// parser.
class JsonObjectSplitter {
  public:
    /// @param maxObjectBytes  upper bound on the size of one object
    explicit JsonObjectSplitter(std::size_t maxObjectBytes) : maxBytes(maxObjectBytes) {}

    /// Appends bytes of the stream.
    /// @return the objects that these bytes complete, in order
    /// @throws ParseError at an invalid byte, or if an object exceeds the bound; the splitter must
    ///   not be used afterwards
    [[nodiscard]] std::vector<std::string> consume(std::string_view bytes);
    /// Whether an object has begun but is not complete yet.
    [[nodiscard]] bool insideObject() const { return !object.empty(); }

  private:
    enum class Expected { value, valueOrEnd, key, keyOrEnd, colon, commaOrEnd };
    enum class Token { none, string, escape, scalar };

    void consumeByte(char byte);
    void consumeInString(char byte);
    void beginToken(char byte);
    bool openBracket(char byte);
    bool closeBracket(char byte);
    void endValueOrKey();
    void endScalar();

    std::size_t maxBytes;
    std::string object;  // the bytes of the incomplete object
    std::string openBrackets;
    Expected expected = Expected::value;
    Token token = Token::none;
    std::size_t scalarBegin = 0;
};

}  // namespace deckcart::platform
