// Parsers of form bodies (application/x-www-form-urlencoded) and of server-sent events
// (text/event-stream), the formats of the platform's control service. Used by
// PlatformControlPlaneClient. Performs no I/O.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace deckcart::platform {

/// Decoded form fields with unique names.
class Form {
  public:
    /// @throws ParseError if the name is already set
    void add(std::string name, std::string value);
    /// Sets or replaces.
    void set(std::string name, std::string value);
    /// @throws ParseError if the field is missing
    [[nodiscard]] const std::string &text(const char *name) const;
    /// @throws ParseError if the field is missing, not a number, or outside [minimum, maximum]
    [[nodiscard]] double number(const char *name, double minimum, double maximum) const;

  private:
    std::map<std::string, std::string> values;
};

/// Parses name=value&name=value with percent-encoding and "+" for a space.
/// @throws ParseError on an invalid escape, a pair without "=" or a duplicate name
Form parseForm(std::string_view text);

/// One event of a stream; either member may be empty, but not both.
struct ServerSentEvent {
    std::string type;
    std::string data;  ///< data lines joined by line feeds
};

/// Assembles events from the lines of an event stream.
class ServerSentEventParser {
  public:
    /// @param line  without its line feed; a trailing carriage return is ignored
    /// @return the event that this line completes, if any
    /// @throws ParseError if an event exceeds 64 KiB
    [[nodiscard]] std::optional<ServerSentEvent> consumeLine(std::string_view line);

  private:
    ServerSentEvent pending;
};

}  // namespace deckcart::platform
