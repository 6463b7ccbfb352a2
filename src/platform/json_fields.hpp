// Typed and validated access to the fields of the platform's JSON documents. Used by the parsers of
// the configuration, endpoint lists and rollout documents. Errors are ParseErrors with the path of
// the field. Performs no I/O.
#pragma once

#include <asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "../base/parse_error.hpp"

namespace deckcart::platform {

/// Highest build number that the platform assigns.
constexpr int kMaxBuild = 65535;

/// Throws a ParseError with the message "field PATH PROBLEM".
[[noreturn]] void throwFieldError(const std::string &fieldPath, const std::string &problem);

/// The fields of one object of a document. All readers throw ParseError if the field is missing or
/// has another type; has() doesn't.
class JsonFields {
  public:
    /// @param source  must outlive this object
    /// @param objectPath  dotted path of the object in its document; empty for the document itself
    explicit JsonFields(const nlohmann::json &source, std::string objectPath = {})
        : object(source), path(std::move(objectPath)) {}

    [[nodiscard]] bool has(const char *name) const { return object.contains(name); }
    [[nodiscard]] const nlohmann::json &required(const char *name) const;
    [[nodiscard]] std::string text(const char *name) const;
    /// @param minimum,maximum  the allowed range, inclusive
    [[nodiscard]] double number(const char *name, double minimum, double maximum) const;
    [[nodiscard]] bool boolean(const char *name) const;
    [[nodiscard]] std::int64_t integer(const char *name) const;
    /// An address of the form HOST:PORT.
    [[nodiscard]] asio::ip::tcp::endpoint address(const char *name) const;
    /// Throws a ParseError with the full path of the field.
    [[noreturn]] void fail(const char *name, const std::string &problem) const;

  private:
    const nlohmann::json &object;
    std::string path;
};

/// Parses the text as JSON. A duplicate key in one object is an error, since the parser would
/// silently drop one of the two values.
/// @throws ParseError on invalid JSON or a duplicate key
nlohmann::json parseUniqueKeys(const std::string &text);

}  // namespace deckcart::platform
