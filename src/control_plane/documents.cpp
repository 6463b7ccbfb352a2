#include "documents.hpp"

#include <array>
#include <cmath>

namespace deckcart {
namespace {

using nlohmann::json;

template <class Value>
struct Word {
    const char *text;
    Value value;
};

constexpr std::array kVerdicts{
    Word<Verdict>{"none", Verdict::none},
    Word<Verdict>{"on", Verdict::promote},
    Word<Verdict>{"hold", Verdict::hold},
    Word<Verdict>{"back", Verdict::rollBack},
};
constexpr std::array kPhases{
    Word<RolloutPhase>{"on-trial", RolloutPhase::canary},
    Word<RolloutPhase>{"going-back", RolloutPhase::rollingBack},
    Word<RolloutPhase>{"released", RolloutPhase::released},
    Word<RolloutPhase>{"withdrawn", RolloutPhase::rolledBack},
};
constexpr std::array kStates{
    Word<EndpointState>{"live", EndpointState::active},
    Word<EndpointState>{"draining", EndpointState::draining},
    Word<EndpointState>{"gone", EndpointState::removed},
};

template <class Value, std::size_t Count>
const char *textOf(const std::array<Word<Value>, Count> &words, Value value) {
    for (const auto &word : words)
        if (word.value == value)
            return word.text;
    return words.front().text;  // every enumerator has its word
}

template <class Value, std::size_t Count>
std::optional<Value> valueOf(const std::array<Word<Value>, Count> &words, const std::string &text) {
    for (const auto &word : words)
        if (text == word.text)
            return word.value;
    return std::nullopt;
}

template <class Value, std::size_t Count>
Value requiredWord(const json &document, const char *name,
                   const std::array<Word<Value>, Count> &words) {
    const auto value = valueOf(words, requiredField<std::string>(document, name));
    if (!value)
        throw ParseError(name, std::string("field ") + name + " holds an unknown word");
    return *value;
}

template <class Value>
Value optionalField(const json &document, const char *name, Value fallback) {
    try {
        return document.value(name, std::move(fallback));
    } catch (const json::exception &fault) {
        throw ParseError(name, fault.what());
    }
}

/// Documents hold milliseconds, with fractions.
Duration requiredDuration(const json &document, const char *name) {
    return Duration{std::llround(requiredField<double>(document, name) * 1000)};
}

}  // namespace

const char *nameOf(Verdict verdict) {
    return textOf(kVerdicts, verdict);
}

const char *nameOf(RolloutPhase phase) {
    return textOf(kPhases, phase);
}

std::optional<Verdict> verdictNamed(const std::string &name) {
    return valueOf(kVerdicts, name);
}

json toJson(const ListedEndpoint &endpoint) {
    json document{{"id", endpoint.id},
                  {"zone", endpoint.zone},
                  {"cell", endpoint.cell},
                  {"build", endpoint.build},
                  {"readiness", textOf(kStates, endpoint.state)},
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
    endpoint.state = requiredWord(document, "readiness", kStates);
    endpoint.weight = optionalField(document, "weight", 1.0);
    endpoint.incarnation = optionalField(document, "incarnation", std::string{});
    if (document.contains("ageMs"))
        endpoint.age = requiredDuration(document, "ageMs");
    const bool inRange = endpoint.weight > 0 && !endpoint.id.empty();
    if (!inRange)
        throw ParseError("id or weight", "field id or weight is out of range");
    return endpoint;
}

EndpointEntry entryOf(const ListedEndpoint &endpoint, const GatewaySettings &settings) {
    return {endpoint.id,
            settings.zoneIndex(endpoint.zone),
            endpoint.cell,
            endpoint.build,
            endpoint.state,
            endpoint.weight,
            {}};
}

ListedEndpoint listedOf(const EndpointEntry &entry, const std::vector<std::string> &zones,
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
    stage.phase = requiredWord(document, "phase", kPhases);
    stage.exposureLimit = requiredField<double>(document, "cap");
    stage.age = requiredDuration(document, "sinceMs");
    const bool inRange = stage.exposureLimit >= 0 && stage.exposureLimit <= 1 && stage.step >= 0;
    if (!inRange)
        throw ParseError("cap or step", "field cap or step is out of range");
    return stage;
}

std::optional<UsageReport> readUsageReport(const json &row, std::size_t routes) {
    UsageReport report;
    report.route = requiredField<int>(row, "route");
    if (report.route < 0 || std::size_t(report.route) >= routes)
        return std::nullopt;
    report.build = requiredField<int>(row, "build");
    report.attempts = requiredField<int>(row, "counted");
    report.failures = requiredField<int>(row, "lost");
    report.age = requiredDuration(row, "sinceMs");
    return report;
}

}  // namespace deckcart
