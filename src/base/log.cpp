#include "log.hpp"

#include <spdlog/sinks/stdout_sinks.h>

namespace deckcart {

Log::Log(LogForm logForm, std::string writer) : form(logForm), who(std::move(writer)) {
    if (form == LogForm::none)
        return;
    logger =
        std::make_shared<spdlog::logger>(who, std::make_shared<spdlog::sinks::stderr_sink_st>());
    logger->set_pattern(form == LogForm::json ? "%v" : "%Y-%m-%dT%H:%M:%S.%e %L %v");
    logger->flush_on(spdlog::level::warn);
}

void Log::info(const char *event, const nlohmann::json &fields) const {
    write(spdlog::level::info, event, fields);
}
void Log::warn(const char *event, const nlohmann::json &fields) const {
    write(spdlog::level::warn, event, fields);
}

void Log::write(spdlog::level::level_enum level, const char *event,
                const nlohmann::json &fields) const {
    if (!logger)
        return;
    std::string line;
    if (form == LogForm::json) {
        const auto since = std::chrono::system_clock::now().time_since_epoch();
        nlohmann::json out = fields;
        out["t_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
        out["level"] = level == spdlog::level::warn ? "warn" : "info";
        out["event"] = event;
        if (!who.empty())
            out["writer"] = who;
        // What came from outside may hold any bytes: they are replaced, not thrown over.
        line = out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    } else {
        line = who.empty() ? event : who + " " + event;
        for (const auto &[name, value] : fields.items())
            line += " " + name + "=" +
                    value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    logger->log(level, "{}", line);
    logger->flush();
}

}  // namespace deckcart
