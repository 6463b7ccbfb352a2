// The exception that readers of documents, forms and commands throw.
#pragma once

#include <stdexcept>
#include <string>

namespace deckcart {

/// An invalid text or document, with the place of the error in it.
class ParseError : public std::invalid_argument {
  public:
    /// @param where  the field, JSON pointer or line that is invalid; empty: the whole document
    /// @param message  for operators: what is wrong, including the place
    ParseError(std::string where, const std::string &message)
        : std::invalid_argument(message), errorLocation(std::move(where)) {}

    /// The field, JSON pointer or line that is invalid; empty: the whole document.
    [[nodiscard]] const std::string &location() const { return errorLocation; }

  private:
    std::string errorLocation;
};

}  // namespace deckcart
