// Structured logs on spdlog: an event's name and its fields, as text or as JSON lines, on standard
// error. The events of a gateway are listed in docs/operate/gateway.md.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>
#include <string>

namespace deckcart {

enum class LogForm { text, json, none };

/// A value: copies write to the same place. One thread. Each line is flushed at once.
class Log {
  public:
    /// @param writer  stands in each line, as "writer" in JSON; empty: left out
    explicit Log(LogForm logForm = LogForm::none, std::string writer = {});
    /// @param fields  an object; written in the order of their names
    void info(const char *event, const nlohmann::json &fields = nlohmann::json::object()) const;
    void warn(const char *event, const nlohmann::json &fields = nlohmann::json::object()) const;
    /// Whether anything is written: spares the making of fields.
    [[nodiscard]] bool on() const { return form != LogForm::none; }

  private:
    void write(spdlog::level::level_enum level, const char *event,
               const nlohmann::json &fields) const;
    LogForm form;
    std::string who;
    std::shared_ptr<spdlog::logger> logger;
};

}  // namespace deckcart
