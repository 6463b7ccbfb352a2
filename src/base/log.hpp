// Structured logging to standard error with spdlog: each line holds the name of an event and its
// fields, as text or as JSON. The events of a gateway are listed in docs/operate/gateway.md.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>
#include <string>

namespace deckcart {

enum class LogFormat { text, json, none };

/// Copies share one spdlog logger. Not thread-safe. Each line is flushed at once.
class Log {
  public:
    /// @param writer  name of the component, written in each line (JSON field "writer"); empty:
    ///                left out
    explicit Log(LogFormat logForm = LogFormat::none, std::string writer = {});
    /// @param fields  a JSON object; its fields are written in the order of their names
    void info(const char *event, const nlohmann::json &fields = nlohmann::json::object()) const;
    /// Parameters as for info().
    void warn(const char *event, const nlohmann::json &fields = nlohmann::json::object()) const;
    /// Whether lines are written, so that callers can skip building the fields.
    [[nodiscard]] bool isEnabled() const { return form != LogFormat::none; }

  private:
    void write(spdlog::level::level_enum level, const char *event,
               const nlohmann::json &fields) const;
    LogFormat form;
    std::string writerName;
    std::shared_ptr<spdlog::logger> logger;
};

}  // namespace deckcart
