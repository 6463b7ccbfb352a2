// Structured logs on spdlog: an event's name and its fields, as text or as JSON lines, on standard
// error.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>
#include <string>

namespace deckcart {

enum class LogForm { text, json, none };

class Log {
  public:
    explicit Log(LogForm logForm = LogForm::none, std::string writer = {});
    // Fields are an object; they keep the order of their names.
    void info(const char *event, const nlohmann::json &fields = nlohmann::json::object()) const;
    void warn(const char *event, const nlohmann::json &fields = nlohmann::json::object()) const;
    bool on() const { return form != LogForm::none; }

  private:
    void write(spdlog::level::level_enum level, const char *event,
               const nlohmann::json &fields) const;
    LogForm form;
    std::string who;
    std::shared_ptr<spdlog::logger> logger;
};

}  // namespace deckcart
