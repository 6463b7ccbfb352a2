// Forms (application/x-www-form-urlencoded) and server-sent events, as the platform's control
// service streams them. Used by the control plane client. Pure; throws ParseError.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace deckcart::platform {

/// Named values, decoded. A name stands once.
class Form {
  public:
    /// Throws ParseError where the name is set already.
    void add(std::string name, std::string value);
    /// Sets or replaces.
    void set(std::string name, std::string value);
    /// Throws ParseError where there is no such name.
    [[nodiscard]] const std::string &text(const char *name) const;
    /// Throws ParseError where it is no number, or not from `least` to `most`.
    [[nodiscard]] double number(const char *name, double least, double most) const;

  private:
    std::map<std::string, std::string> values;
};

/// Reads name=value&name=value with %XX and + for a space. Throws ParseError at a bad escape, a
/// part without "=" and a name that stands twice.
Form parseForm(std::string_view text);

struct ServerSentEvent {
    std::string type;
    std::string data;
};

/// Puts the lines of an event stream (text/event-stream) together to events.
class ServerSentEventParser {
  public:
    /// @param line  without its line feed
    /// @return the event that this line completes, if any
    /// Throws ParseError where an event is over 64 KiB.
    [[nodiscard]] std::optional<ServerSentEvent> feedLine(std::string_view line);

  private:
    ServerSentEvent pending;
};

}  // namespace deckcart::platform
