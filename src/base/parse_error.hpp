// The error of all readers of documents, forms and commands.
#pragma once

#include <stdexcept>
#include <string>

namespace deckcart {

/// A text or document that can't be read: where in it, and what is wrong there.
class ParseError : public std::invalid_argument {
  public:
    /// @param where  the field, JSON pointer or line at fault; empty: the whole document
    /// @param message  what is wrong, with the place, as it is shown to operators
    ParseError(std::string where, const std::string &message)
        : std::invalid_argument(message), location(std::move(where)) {}

    [[nodiscard]] const std::string &place() const { return location; }

  private:
    std::string location;
};

}  // namespace deckcart
