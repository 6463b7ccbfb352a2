// Whole JSON values out of a stream's bytes, cut anywhere, whatever the white space between their
// parts. What can't become a value is found at the byte that shows it, not at the value's end,
// which may never come. Pure.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace deckcart::platform {

class JsonValues {
  public:
    explicit JsonValues(std::size_t mostBytes) : most(mostBytes) {}

    // Values that these bytes complete, in order. Throws std::invalid_argument at a byte that fits
    // no value, or past the bound; what follows is then out of step.
    std::vector<std::string> feed(std::string_view bytes);
    bool inside() const { return !text.empty(); }  // a value has begun and has not ended

  private:
    enum class Wants { value, valueOrEnd, key, keyOrEnd, colon, commaOrEnd };
    enum class Within { nothing, string, escape, word };
    void byte(char c);
    void begin(char c);
    void ended();
    void endWord();

    std::size_t most;
    std::string text, open;  // the present value; its open brackets
    Wants wants = Wants::value;
    Within within = Within::nothing;
    std::size_t wordAt = 0;
};

}  // namespace deckcart::platform
