// Fields of the platform's JSON documents, each read with its check. Used by the readers of the
// configuration and of discovery's lists. Pure; throws ParseError with the field's place.
#pragma once

#include <asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "../base/parse_error.hpp"

namespace deckcart::platform {

/// Builds as the platform states them.
constexpr int kMaxBuild = 65535;

/// Throws a ParseError that reads "field PLACE WHAT".
[[noreturn]] void throwFieldError(const std::string &place, const std::string &what);

/// The fields of one object of a document.
class JsonFields {
  public:
    /// @param fieldsOf  outlives this
    /// @param pathOfObject  of the object in its document, dots between; empty: the document itself
    explicit JsonFields(const nlohmann::json &fieldsOf, std::string pathOfObject = {})
        : object(fieldsOf), path(std::move(pathOfObject)) {}

    [[nodiscard]] bool has(const char *name) const { return object.contains(name); }
    [[nodiscard]] const nlohmann::json &required(const char *name) const;
    [[nodiscard]] std::string text(const char *name) const;
    /// @param least,most  the range, both ends in it
    [[nodiscard]] double number(const char *name, double least, double most) const;
    [[nodiscard]] bool boolean(const char *name) const;
    [[nodiscard]] std::int64_t integer(const char *name) const;
    [[nodiscard]] asio::ip::tcp::endpoint address(const char *name) const;
    [[noreturn]] void fail(const char *name, const std::string &what) const;

  private:
    const nlohmann::json &object;
    std::string path;
};

/// Parses the text as JSON. A key that stands twice in one object is an error: which of the two
/// counted would be chance.
nlohmann::json parseUniqueKeys(const std::string &text);

}  // namespace deckcart::platform
