#include "members_table.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace deckcart::cli {
namespace {

using nlohmann::json;

constexpr double kMillisecondsPerSecond = 1000;

std::string secondsCell(const json &row, const char *name) {
    if (!row.contains(name))
        return "-";
    return fmt::format("{:.1f}", row[name].get<double>() / kMillisecondsPerSecond);
}

std::string endpointRow(const json &endpoint) {
    return fmt::format("{:<24}{:>6} {:<9}{:>7.3f}{:>9}{:>7}  {:<7}{}{}\n", endpoint.value("id", ""),
                       endpoint.value("build", 0), endpoint.value("readiness", ""),
                       endpoint.value("weight", 1.0), secondsCell(endpoint, "toldAgoMs"),
                       secondsCell(endpoint, "lifetimeLeftMs"), endpoint.value("state", ""),
                       endpoint.value("inSet", true) ? "" : "(not in the set) ",
                       endpoint.value("reason", "listed by desk"));
}

std::string sourceRow(const json &source) {
    return fmt::format("{:<40}{:<11}{:>7}{:>6}{:>9}{:>9}  {}\n", source.value("name", ""),
                       source.value("state", ""), source.value("listed", 0),
                       source.value("heldLosses", 0), secondsCell(source, "toldAgoMs"),
                       secondsCell(source, "lifetimeLeftMs"), source.value("fault", ""));
}

std::string stageLine(const json &stage) {
    return fmt::format("\nstage: build {} step {} {} cap {:.2f}\n", stage.value("build", 0),
                       stage.value("step", 0), stage.value("phase", ""), stage.value("cap", 0.0));
}

}  // namespace

std::string membersTable(const std::string &body) {
    const json answer = json::parse(body, nullptr, false);
    if (!answer.is_object())
        return body;
    std::string table =
        fmt::format("{:<24}{:>6} {:<9}{:>7}{:>9}{:>7}  {:<7}{}\n", "instance", "build", "readiness",
                    "weight", "told s", "left s", "state", "reason");
    for (const auto &endpoint : answer.value("instances", json::array()))
        table += endpointRow(endpoint);
    if (answer.contains("sources"))
        table += fmt::format("\n{:<40}{:<11}{:>7}{:>6}{:>9}{:>9}  {}\n", "source", "state",
                             "listed", "held", "told s", "left s", "fault");
    for (const auto &source : answer.value("sources", json::array()))
        table += sourceRow(source);
    if (answer.contains("stage"))
        table += stageLine(answer["stage"]);
    return table;
}

}  // namespace deckcart::cli
