// Plays a day of trouble through real gateways, processes of their own, with stand-ins for all
// around them, and judges it by the five rules.
#pragma once

#include <filesystem>

#include "invariant_checker.hpp"
#include "scenario.hpp"

namespace deckcart::scenarios {

struct ScenarioRunOptions {
    std::filesystem::path program;  // the deckcart binary, run as gateways
    std::filesystem::path keep;  // folder for the gateways' logs and state; empty: a temporary one
    std::vector<std::string> shellFaults;  // handed to every gateway
    bool quiet = false;                    // no progress on standard error
};

struct ScenarioRun {
    std::string fault;  // empty, or why the day could not be played
    Records records;
    std::vector<Violation> violations;
    nlohmann::json report;     // service by route, stages, votes, rules
    bool verdictRight = true;  // the release ended as staff would expect
};

RuleParameters ruleParametersOf(const Scenario &day);
ScenarioRun runScenario(const Scenario &day, const ScenarioRunOptions &start);
// The report as lines for people.
std::string describe(const nlohmann::json &report);

}  // namespace deckcart::scenarios
