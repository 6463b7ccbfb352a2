// One line of a policy script: words and name=value arguments; # begins a comment.
#pragma once

#include <deckcart/policy.hpp>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace deckcart::test {

/// A check of a script that did not hold, or a line that can't be read. what() says what was
/// expected and what was seen.
class ScriptFailure : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

/// @throws ScriptFailure with the message where the condition does not hold
void check(bool holds, const std::string &message);

[[nodiscard]] Duration seconds(double count);

class ScriptLine {
  public:
    explicit ScriptLine(const std::string &text);

    [[nodiscard]] bool empty() const { return words.empty(); }
    [[nodiscard]] std::size_t wordCount() const { return words.size(); }
    /// @throws ScriptFailure where the line has fewer words
    [[nodiscard]] const std::string &word(std::size_t index) const;

    [[nodiscard]] bool has(const std::string &name) const { return arguments.contains(name); }
    [[nodiscard]] std::string text(const std::string &name,
                                   const std::string &otherwise = "") const;
    [[nodiscard]] double number(const std::string &name, double otherwise) const;
    [[nodiscard]] int integer(const std::string &name, int otherwise) const;
    [[nodiscard]] bool flag(const std::string &name) const { return number(name, 0) > 0; }
    [[nodiscard]] Duration duration(const std::string &name, double otherwise) const;
    [[nodiscard]] std::vector<std::string> argumentNames() const;

    /// Whether `action` begins with this line's words but the first, and holds its arguments but
    /// `least` and `most`.
    [[nodiscard]] bool describes(const ScriptLine &action) const;

  private:
    std::vector<std::string> words;
    std::map<std::string, std::string> arguments;
};

/// The value of a keyword. @throws ScriptFailure for an unknown one
template <class T>
[[nodiscard]] T valueOf(const std::map<std::string, T> &keywords, const std::string &keyword) {
    const auto found = keywords.find(keyword);
    check(found != keywords.end(), "unknown keyword '" + keyword + "'");
    return found->second;
}

}  // namespace deckcart::test
