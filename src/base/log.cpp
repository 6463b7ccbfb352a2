#include "log.hpp"

#include <spdlog/sinks/stdout_sinks.h>

namespace deckcart {

Log::Log(LogFormat logForm, std::string writer) : form(logForm), writerName(std::move(writer)) {
    if (form == LogFormat::none)
        return;
    logger = std::make_shared<spdlog::logger>(writerName,
                                              std::make_shared<spdlog::sinks::stderr_sink_st>());
    logger->set_pattern(form == LogFormat::json ? "%v" : "%Y-%m-%dT%H:%M:%S.%e %L %v");
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
    if (form == LogFormat::json) {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        nlohmann::json document = fields;
        document["t_ms"] =
            std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
        document["level"] = level == spdlog::level::warn ? "warn" : "info";
        document["event"] = event;
        if (!writerName.empty())
            document["writer"] = writerName;
        // Text from outside may not be valid UTF-8: invalid bytes are replaced rather than reported
        // by an exception.
        line = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    } else {
        line = writerName.empty() ? event : writerName + " " + event;
        for (const auto &[name, value] : fields.items())
            line += " " + name + "=" +
                    value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    logger->log(level, "{}", line);
    logger->flush();
}

}  // namespace deckcart
