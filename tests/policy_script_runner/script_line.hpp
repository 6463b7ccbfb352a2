// Parser of the lines of policy scripts.
#pragma once

#include <deckcart/policy.hpp>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace deckcart::test {

/// A failed check of a script, or a line that can't be parsed. what() says what was expected and
/// what was seen.
class ScriptFailure : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

/// @throws ScriptFailure with the message if the condition is false
void check(bool holds, const std::string &message);

/// Rounded to the microsecond.
[[nodiscard]] Duration seconds(double count);

/// One line: words and name=value arguments, separated by blanks; # begins a comment.
class ScriptLine {
  public:
    explicit ScriptLine(const std::string &text);

    [[nodiscard]] bool empty() const { return words.empty(); }
    [[nodiscard]] std::size_t wordCount() const { return words.size(); }
    /// @throws ScriptFailure if the line has fewer words
    [[nodiscard]] const std::string &word(std::size_t index) const;

    [[nodiscard]] bool has(const std::string &name) const { return arguments.contains(name); }

    // The value of an argument, or the default if the line doesn't have it. The numeric ones throw
    // std::invalid_argument or std::out_of_range if the value doesn't begin with a valid number.
    [[nodiscard]] std::string text(const std::string &name,
                                   const std::string &defaultValue = "") const;
    [[nodiscard]] double number(const std::string &name, double defaultValue) const;
    [[nodiscard]] int integer(const std::string &name, int defaultValue) const;
    /// Whether the argument is present and positive.
    [[nodiscard]] bool flag(const std::string &name) const { return number(name, 0) > 0; }
    /// The argument and its default are in seconds.
    [[nodiscard]] Duration duration(const std::string &name, double defaultValue) const;
    [[nodiscard]] std::vector<std::string> argumentNames() const;

    /// Whether a check such as this line applies to the action: the action begins with the words
    /// that follow the verb and has the same arguments, `least` and `most` aside.
    [[nodiscard]] bool matches(const ScriptLine &action) const;

  private:
    std::vector<std::string> words;
    std::map<std::string, std::string> arguments;
};

/// The value that a keyword stands for. @throws ScriptFailure for an unknown keyword
template <class T>
[[nodiscard]] T valueOf(const std::map<std::string, T> &keywords, const std::string &keyword) {
    const auto found = keywords.find(keyword);
    check(found != keywords.end(), "unknown keyword '" + keyword + "'");
    return found->second;
}

}  // namespace deckcart::test
