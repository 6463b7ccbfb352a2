#include "event_codec.hpp"

#include "json_fields.hpp"
#include "settings_codec.hpp"

namespace deckcart::simulator {
namespace {

using nlohmann::json;

Outcome readOutcome(const json &message) {
    switch (optional<int>(message, "How")) {
    case 0:
        return Outcome::ok;
    case 5:
        return Outcome::error;
    case 11:
        return Outcome::overloaded;
    case 110:
        return Outcome::timeout;
    case 111:
        return Outcome::connectFailed;
    case 104:
        return Outcome::reset;
    case 125:
        return Outcome::cancelled;
    case 114:
        return Outcome::obsolete;
    default:
        throw MalformedInput::inField("How", "has an unknown value");
    }
}

RolloutPhase readPhase(const json &message) {
    switch (optional<int>(message, "Standing")) {
    case 0:
        return RolloutPhase::canary;
    case 1:
        return RolloutPhase::rollingBack;
    case 2:
        return RolloutPhase::released;
    case 3:
        return RolloutPhase::rolledBack;
    default:
        throw MalformedInput::inField("Standing", "has an unknown value");
    }
}

EndpointEntry readEndpoint(const json &document) {
    EndpointEntry entry;
    entry.id = required<std::string>(document, "Instance");
    entry.zone = optional<int>(document, "RackZone");
    entry.cell = optional<int>(document, "Pod");
    entry.build = static_cast<BuildNumber>(optional<double>(document, "Runs"));
    entry.state = requiredKeyword<EndpointState>(document, "Readiness",
                                                 {{"live", EndpointState::active},
                                                  {"quiescing", EndpointState::draining},
                                                  {"dead", EndpointState::removed}});
    entry.weight = optional<double>(document, "Scale", 1);
    const TimePoint startedAt = optionalDuration(document, "StartedAtS");
    if (startedAt > TimePoint{0})
        entry.startedAt = startedAt;
    return entry;
}

RequestId requestIdOf(const json &message) {
    return required<RequestId>(message, "Req");
}

EndpointId endpointIdOf(const json &message) {
    return required<std::string>(message, "Instance");
}

Event readStart(const json &message) {
    const json &settings = requiredField(message, "Params");
    return PolicyStarted{readPolicySettings(settings, required<std::uint64_t>(message, "Seed"))};
}

Event readRequest(const json &message) {
    RequestArrived arrived;
    arrived.requestId = requestIdOf(message);
    arrived.key = optional<std::string>(message, "Affinity");
    arrived.route = optional<int>(message, "Grade");
    arrived.tenant = optional<int>(message, "Project");
    arrived.deadline = requiredDuration(message, "NotAfterS");
    return arrived;
}

Event readAttemptEnd(const json &message) {
    AttemptEnded ended;
    ended.requestId = requestIdOf(message);
    ended.attemptNumber = optional<int>(message, "SendNo");
    ended.requestEnded = optional<bool>(message, "Last");
    ended.outcome = readOutcome(message);
    return ended;
}

Event readProbeEnd(const json &message) {
    return ProbeEnded{endpointIdOf(message), numbersField(message, "Telemetry")};
}

Event readRolloutUpdate(const json &message) {
    RolloutUpdate update;
    update.phase = readPhase(message);
    update.isVoteReply = optional<int>(message, "Sense") == 1;
    update.outcome = readOutcome(message);
    update.build = optional<int>(message, "BuildNo");
    update.step = optional<int>(message, "Step");
    update.exposureLimit = optional<double>(message, "Cap");
    update.age = optionalDuration(message, "SinceS");
    return update;
}

Event readUsageReport(const json &message) {
    UsageReport report;
    report.build = optional<int>(message, "BuildNo");
    report.route = optional<int>(message, "Grade");
    report.attempts = optional<int>(message, "Many");
    report.failures = optional<int>(message, "Lost");
    report.age = optionalDuration(message, "SinceS");
    return report;
}

Event readIncorrectResponse(const json &message) {
    return IncorrectResponseReported{endpointIdOf(message), optionalDuration(message, "SinceS")};
}

Event readAbandoned(const json &message) {
    return RequestAbandoned{requestIdOf(message)};
}

// FIRST_BYTE is ignored because the result of a response is known only at its end, MESSAGE because
// gateways exchange no messages.
bool isIgnored(const std::string &kind) {
    return kind == "FIRST_BYTE" || kind == "MESSAGE";
}

using EventDecoder = Event (*)(const json &message);

const std::map<std::string, EventDecoder> &decoders() {
    static const std::map<std::string, EventDecoder> byKind{
        {"INIT", readStart},
        {"DETACH", [](const json &) -> Event { return PolicyStopped{}; }},
        {"CALL", readRequest},
        {"FINISHED", readAttemptEnd},
        {"EXPIRED", readAbandoned},
        {"WAKE", [](const json &) -> Event { return TimerFired{}; }},
        {"STATUS_BACK", readProbeEnd},
        {"PROMOTION", readRolloutUpdate},
        {"TALLY", readUsageReport},
        {"REPORTED_WRONG", readIncorrectResponse},
    };
    return byKind;
}

json parseLine(const std::string &line) {
    json root = json::parse(line, nullptr, false);
    if (root.is_discarded())
        throw MalformedInput("", "the line is not JSON");
    if (!root.is_object())
        throw MalformedInput("", "the line is not an object");
    return root;
}

}  // namespace

void EventReader::readList(const json &message) {
    std::vector<EndpointEntry> entries;
    for (const auto &document : arrayField(message, "NodesList"))
        entries.push_back(readEndpoint(document));
    listsByNumber[optional<std::int64_t>(message, "Table")] = std::move(entries);
}

Event EventReader::readListUpdate(const json &message) const {
    const auto form = required<std::string>(message, "Form");
    if (form == "FAILED")
        return EndpointListFailed{};
    const auto list = listsByNumber.find(optional<std::int64_t>(message, "Table"));
    if (list == listsByNumber.end())
        throw MalformedInput::inField("Table", "refers to an unknown endpoint list");
    return EndpointListUpdate{form != "INCREMENTAL", list->second};
}

void EventReader::readEvent(const std::string &kind, const json &message,
                            std::vector<Event> &events) const {
    if (isIgnored(kind))
        return;
    if (kind == "PEERS_KNOWN") {
        events.push_back(readListUpdate(message));
        return;
    }
    const auto decoder = decoders().find(kind);
    if (decoder == decoders().end())
        throw MalformedInput("m", "field m has the unknown event " + kind);
    events.push_back(decoder->second(message));
}

Batch EventReader::read(const std::string &line) {
    const json root = parseLine(line);
    Batch batch;
    batch.now = requiredDuration(root, "TsS");
    const json &messages = requiredField(root, "in");
    if (!messages.is_array())
        throw MalformedInput::inField("in", "is not an array");
    std::map<GatewayId, std::size_t> indexByGateway;
    for (const auto &message : messages) {
        if (!message.is_object())
            throw MalformedInput("in", "an event is not an object");
        const auto kind = required<std::string>(message, "m");
        if (kind == "LIST") {
            readList(message);
            continue;
        }
        const auto gateway = optional<GatewayId>(message, "Who");
        const auto [index, added] = indexByGateway.try_emplace(gateway, batch.gateways.size());
        if (added)
            batch.gateways.push_back({gateway, {}});
        readEvent(kind, message, batch.gateways[index->second].events);
    }
    return batch;
}

}  // namespace deckcart::simulator
