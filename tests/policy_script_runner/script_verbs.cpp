#include "script_verbs.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <sstream>

namespace deckcart::test {
namespace {

const std::map<std::string, Outcome> kOutcomes{
    {"ok", Outcome::ok},           {"error", Outcome::error},
    {"timeout", Outcome::timeout}, {"overloaded", Outcome::overloaded},
    {"reset", Outcome::reset},     {"connect-failed", Outcome::connectFailed}};
const std::map<std::string, RolloutPhase> kPhases{{"canary", RolloutPhase::canary},
                                                  {"rolling-back", RolloutPhase::rollingBack},
                                                  {"released", RolloutPhase::released},
                                                  {"rolled-back", RolloutPhase::rolledBack}};
const std::map<std::string, EndpointState> kStates{{"active", EndpointState::active},
                                                   {"draining", EndpointState::draining},
                                                   {"removed", EndpointState::removed}};
const std::map<std::string, PromotionRule> kPromotionRules{{"quorum", PromotionRule::quorum},
                                                           {"timer", PromotionRule::timer}};
// With this many gateways the policy probes endpoints for their load.
constexpr int kGatewaysWithProbes = 99;
constexpr int kDefaultGateways = 3;

using VerbHandler = void (*)(const ScriptLine &line, SimulatedGateway &gateway);

void start(const ScriptLine &line, SimulatedGateway &gateway) {
    PolicySettings &settings = gateway.settings;
    const bool probes = line.flag("probes");
    settings.hedgingAllowed = line.flag("hedging");
    settings.stickyKeys = line.flag("stickyKeys");
    settings.idempotentOnlyStages = line.integer("idempotentOnlyStages", 0);
    settings.inPlaceReplacement = line.flag("inPlace");
    settings.exposurePerRoute = line.flag("perRoute");
    settings.subscriptionRequired = line.flag("subscribe");
    settings.subscribeWithin = seconds(10);
    settings.routes[1].deduplicationWindow = line.duration("window", 5);
    settings.exposureAllowance = line.number("allowance", 2);
    settings.crossZoneCost = line.number("crossZoneCost", 0);
    settings.inFlightReportField = probes ? 0 : -1;
    settings.gateways = line.integer("gateways", probes ? kGatewaysWithProbes : kDefaultGateways);
    settings.votesToRollBack = line.integer("votesToRollBack", 1);
    settings.incorrectReportRate = 0.5;
    if (line.has("promotion"))
        settings.promotionRule = valueOf(kPromotionRules, line.text("promotion"));
    gateway.start();
}

void changeEndpoint(const ScriptLine &line, SimulatedGateway &gateway) {
    EndpointEntry &entry = gateway.endpoint(line.word(1));
    entry.build = line.integer("build", 1);
    entry.zone = line.integer("zone", 0);
    entry.state = valueOf(kStates, line.text("state", "active"));
    if (line.has("age"))
        entry.startedAt = gateway.time() - line.duration("age", 0);
}

void changeBehavior(const ScriptLine &line, SimulatedGateway &gateway) {
    EndpointBehavior &behavior = gateway.behavior(line.word(1));
    behavior = EndpointBehavior{};
    if (line.word(2) == "silent")
        behavior.silent = true;
    else
        behavior.outcome = valueOf(kOutcomes, line.word(2));
    behavior.responseSeconds = line.number("after", behavior.responseSeconds);
    behavior.failureShare = line.number("failures", 0);
    behavior.droppedShare = line.number("dropped", 0);
    behavior.load = line.number("load", 0);
    behavior.reportsTwice = line.flag("twice");
    behavior.failingRoute = line.integer("onRoute", -1);
}

RolloutUpdate parseRolloutUpdate(const ScriptLine &line) {
    RolloutUpdate update;
    update.outcome = valueOf(kOutcomes, line.text("outcome", "ok"));
    update.build = line.integer("build", 2);
    update.step = line.integer("step", 0);
    update.phase = valueOf(kPhases, line.text("phase", "canary"));
    update.exposureLimit = line.number("limit", 0.2);
    update.age = line.duration("age", 0);
    return update;
}

void rollout(const ScriptLine &line, SimulatedGateway &gateway) {
    gateway.deliverRollout(parseRolloutUpdate(line));
}

void voteReply(const ScriptLine &line, SimulatedGateway &gateway) {
    RolloutUpdate update = parseRolloutUpdate(line);
    update.isVoteReply = true;
    gateway.deliverRollout(update);
}

// Delivers the last update again, with another limit, step or phase, or as an older one.
void repeatRollout(const ScriptLine &line, SimulatedGateway &gateway) {
    RolloutUpdate update = gateway.lastRollout();
    update.exposureLimit = line.number("limit", update.exposureLimit);
    update.step = line.integer("step", update.step);
    update.age = line.duration("age", 5);
    if (line.has("phase"))
        update.phase = valueOf(kPhases, line.text("phase"));
    gateway.deliverRollout(update);
}

RequestOptions parseRequestOptions(const ScriptLine &line) {
    return {line.integer("route", 0), line.text("key"), line.duration("timeout", 3)};
}

void request(const ScriptLine &line, SimulatedGateway &gateway) {
    gateway.request(std::stoull(line.word(1)), parseRequestOptions(line));
}

void requests(const ScriptLine &line, SimulatedGateway &gateway) {
    const TimePoint end = gateway.time() + line.duration("for", 1);
    const Duration interval = seconds(1 / line.number("rate", 50));
    const int routes = line.integer("routes", 0);
    const int keys = line.integer("keys", 0);
    while (gateway.time() < end) {
        const RequestId id = gateway.nextRequestId++;
        RequestOptions options = parseRequestOptions(line);
        if (routes > 0)
            options.route = static_cast<int>(id % RequestId(routes));
        if (keys > 0)
            options.key = "k" + std::to_string(id % RequestId(keys));
        gateway.request(id, options);
        gateway.advance(interval);
    }
}

void usage(const ScriptLine &line, SimulatedGateway &gateway) {
    UsageReport report;
    report.build = line.integer("build", 1);
    report.route = line.integer("route", 0);
    report.attempts = line.integer("attempts", 0);
    report.failures = line.integer("failures", 0);
    report.age = seconds(1);
    gateway.deliver(report);
}

void incorrect(const ScriptLine &line, SimulatedGateway &gateway) {
    gateway.deliver(IncorrectResponseReported{line.word(1), line.duration("age", 1)});
}

// A result without an attempt that waits for it: late, or of an unknown attempt or request.
void attemptEnded(const ScriptLine &line, SimulatedGateway &gateway) {
    AttemptEnded event;
    event.requestId = std::stoull(line.word(1));
    event.attemptNumber = line.integer("attempt", 0);
    event.requestEnded = line.flag("final");
    event.outcome = valueOf(kOutcomes, line.text("outcome", "ok"));
    gateway.deliver(event);
}

// ---- checks ----

// The actions and arguments that are recorded. A check of any other would always hold or always
// fail.
const std::set<std::string> kRecordedActions{"send", "cancel", "shed",  "failed", "completed",
                                             "vote", "watch",  "probe", "log"};
const std::set<std::string> kRecordedArguments{"request", "endpoint", "build", "attempt",
                                               "step",    "least",    "most"};

std::size_t countMatches(const ScriptLine &line, const SimulatedGateway &gateway) {
    check(kRecordedActions.contains(line.word(1)),
          "expected the name of a recorded action, saw " + line.word(1));
    for (const auto &name : line.argumentNames())
        check(kRecordedArguments.contains(name),
              "expected an argument of a recorded action, saw " + name);
    const auto isMatch = [&](const std::string &action) {
        return line.matches(ScriptLine(action));
    };
    return static_cast<std::size_t>(std::ranges::count_if(gateway.actions(), isMatch));
}

// The last actions since the mark, for the message of a failed check.
std::string lastActions(const SimulatedGateway &gateway) {
    constexpr std::size_t kShownActions = 12;
    const auto &actions = gateway.actions();
    const std::size_t first = actions.size() > kShownActions ? actions.size() - kShownActions : 0;
    std::ostringstream text;
    text << "; of " << actions.size() << " actions since the mark the last are:";
    for (std::size_t index = first; index < actions.size(); ++index)
        text << "\n  " << actions[index];
    return text.str();
}

void expect(const ScriptLine &line, SimulatedGateway &gateway) {
    const auto count = static_cast<double>(countMatches(line, gateway));
    const double least = line.number("least", 1);
    const double most = line.number("most", std::numeric_limits<double>::infinity());
    std::ostringstream message;
    message << "expected " << least << " to " << most << " such actions, saw " << count;
    check(count >= least && count <= most, message.str() + lastActions(gateway));
}

void never(const ScriptLine &line, SimulatedGateway &gateway) {
    const auto count = countMatches(line, gateway);
    check(count == 0,
          "expected no such action, saw " + std::to_string(count) + lastActions(gateway));
}

const std::map<std::string, VerbHandler> &verbHandlers() {
    static const std::map<std::string, VerbHandler> handlers{
        {"start", start},
        {"stop", [](const ScriptLine &, SimulatedGateway &gateway) { gateway.stop(); }},
        {"restart", [](const ScriptLine &, SimulatedGateway &gateway) { gateway.restart(); }},
        {"stall",
         [](const ScriptLine &line, SimulatedGateway &gateway) {
             gateway.stall(seconds(std::stod(line.word(1))));
         }},
        {"wait",
         [](const ScriptLine &line, SimulatedGateway &gateway) {
             gateway.advance(seconds(std::stod(line.word(1))));
         }},
        {"endpoint", changeEndpoint},
        {"behavior", changeBehavior},
        {"crash",
         [](const ScriptLine &line, SimulatedGateway &gateway) { gateway.crash(line.word(1)); }},
        {"list",
         [](const ScriptLine &, SimulatedGateway &gateway) { gateway.deliverEndpointList(); }},
        {"list-failed", [](const ScriptLine &,
                           SimulatedGateway &gateway) { gateway.deliver(EndpointListFailed{}); }},
        {"rollout", rollout},
        {"rollout-again", repeatRollout},
        {"vote-reply", voteReply},
        {"request", request},
        {"requests", requests},
        {"usage", usage},
        {"incorrect", incorrect},
        {"attempt-ended", attemptEnded},
        {"mark", [](const ScriptLine &, SimulatedGateway &gateway) { gateway.mark(); }},
        {"expect", expect},
        {"never", never},
    };
    return handlers;
}

}  // namespace

void execute(const ScriptLine &line, SimulatedGateway &gateway) {
    const auto handler = verbHandlers().find(line.word(0));
    check(handler != verbHandlers().end(), "unknown verb '" + line.word(0) + "'");
    handler->second(line, gateway);
}

}  // namespace deckcart::test
