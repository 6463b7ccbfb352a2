#include "documents.hpp"

#include <array>
#include <cmath>

namespace deckcart {
namespace {

using nlohmann::json;

template <class Value>
struct WireName {
    const char *text;
    Value value;
};

constexpr std::array kVerdicts{
    WireName<Verdict>{"none", Verdict::none},
    WireName<Verdict>{"on", Verdict::promote},
    WireName<Verdict>{"hold", Verdict::hold},
    WireName<Verdict>{"back", Verdict::rollBack},
};
constexpr std::array kPhases{
    WireName<RolloutPhase>{"on-trial", RolloutPhase::canary},
    WireName<RolloutPhase>{"going-back", RolloutPhase::rollingBack},
    WireName<RolloutPhase>{"released", RolloutPhase::released},
    WireName<RolloutPhase>{"withdrawn", RolloutPhase::rolledBack},
};
constexpr std::array kStates{
    WireName<EndpointState>{"live", EndpointState::active},
    WireName<EndpointState>{"draining", EndpointState::draining},
    WireName<EndpointState>{"gone", EndpointState::removed},
};

template <class Value, std::size_t Count>
const char *wireNameOf(const std::array<WireName<Value>, Count> &names, Value value) {
    for (const auto &candidate : names)
        if (candidate.value == value)
            return candidate.text;
    return names.front().text;  // not reached: the table names every enumerator
}

template <class Value, std::size_t Count>
std::optional<Value> valueNamed(const std::array<WireName<Value>, Count> &names,
                                const std::string &text) {
    for (const auto &candidate : names)
        if (text == candidate.text)
            return candidate.value;
    return std::nullopt;
}

template <class Value, std::size_t Count>
Value requiredEnum(const json &document, const char *name,
                   const std::array<WireName<Value>, Count> &names) {
    const auto value = valueNamed(names, requiredField<std::string>(document, name));
    if (!value)
        throw ParseError(name, std::string("field ") + name + " has an unknown value");
    return *value;
}

template <class Value>
Value optionalField(const json &document, const char *name, Value fallback) {
    try {
        return document.value(name, std::move(fallback));
    } catch (const json::exception &error) {
        throw ParseError(name, error.what());
    }
}

/// Reads a required field in milliseconds, possibly fractional.
Duration requiredDuration(const json &document, const char *name) {
    return Duration{std::llround(requiredField<double>(document, name) * 1000)};
}

}  // namespace

const char *nameOf(Verdict verdict) {
    return wireNameOf(kVerdicts, verdict);
}

const char *nameOf(RolloutPhase phase) {
    return wireNameOf(kPhases, phase);
}

std::optional<Verdict> parseVerdict(const std::string &name) {
    return valueNamed(kVerdicts, name);
}

json toJson(const ListedEndpoint &endpoint) {
    json document{{"id", endpoint.id},
                  {"zone", endpoint.zone},
                  {"cell", endpoint.cell},
                  {"build", endpoint.build},
                  {"readiness", wireNameOf(kStates, endpoint.state)},
                  {"weight", endpoint.weight},
                  {"incarnation", endpoint.incarnation}};
    if (endpoint.age)
        document["ageMs"] = milliseconds(*endpoint.age);
    return document;
}

ListedEndpoint readListedEndpoint(const json &document) {
    ListedEndpoint endpoint;
    endpoint.id = requiredField<std::string>(document, "id");
    endpoint.build = requiredField<int>(document, "build");
    endpoint.zone = optionalField(document, "zone", std::string{});
    endpoint.cell = optionalField(document, "cell", 0);
    endpoint.state = requiredEnum(document, "readiness", kStates);
    endpoint.weight = optionalField(document, "weight", 1.0);
    endpoint.incarnation = optionalField(document, "incarnation", std::string{});
    if (document.contains("ageMs"))
        endpoint.age = requiredDuration(document, "ageMs");
    const bool inRange = endpoint.weight > 0 && !endpoint.id.empty();
    if (!inRange)
        throw ParseError("id or weight", "field id is empty or field weight is not above 0");
    return endpoint;
}

EndpointEntry toEndpointEntry(const ListedEndpoint &endpoint, const GatewaySettings &settings) {
    return {endpoint.id,
            settings.zoneIndex(endpoint.zone),
            endpoint.cell,
            endpoint.build,
            endpoint.state,
            endpoint.weight,
            {}};
}

ListedEndpoint toListedEndpoint(const EndpointEntry &entry, const std::vector<std::string> &zones,
                                TimePoint now) {
    ListedEndpoint endpoint;
    endpoint.id = entry.id;
    endpoint.cell = entry.cell;
    endpoint.build = entry.build;
    endpoint.state = entry.state;
    endpoint.weight = entry.weight;
    if (std::size_t(entry.zone) < zones.size())
        endpoint.zone = zones[std::size_t(entry.zone)];
    if (entry.startedAt)
        endpoint.age = now - *entry.startedAt;
    return endpoint;
}

json toJson(const RolloutStage &stage) {
    return {{"build", stage.build},
            {"step", stage.step},
            {"phase", nameOf(stage.phase)},
            {"cap", stage.exposureLimit},
            {"sinceMs", milliseconds(stage.age)}};
}

RolloutStage readStage(const json &document) {
    RolloutStage stage;
    stage.build = requiredField<int>(document, "build");
    stage.step = requiredField<int>(document, "step");
    stage.phase = requiredEnum(document, "phase", kPhases);
    stage.exposureLimit = requiredField<double>(document, "cap");
    stage.age = requiredDuration(document, "sinceMs");
    const bool inRange = stage.exposureLimit >= 0 && stage.exposureLimit <= 1 && stage.step >= 0;
    if (!inRange)
        throw ParseError("cap or step", "field cap is not within 0 to 1 or field step is negative");
    return stage;
}

std::optional<UsageReport> readUsageReport(const json &row, std::size_t routeCount) {
    UsageReport report;
    report.route = requiredField<int>(row, "route");
    if (report.route < 0 || std::size_t(report.route) >= routeCount)
        return std::nullopt;
    report.build = requiredField<int>(row, "build");
    report.attempts = requiredField<int>(row, "counted");
    report.failures = requiredField<int>(row, "lost");
    report.age = requiredDuration(row, "sinceMs");
    return report;
}

}  // namespace deckcart
