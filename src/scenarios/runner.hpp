// Runs a fault scenario: gateways as processes of their own, with fake clients, endpoints and
// control plane around them in this process. Checks the five rules afterwards.
#pragma once

#include <filesystem>

#include "invariant_checker.hpp"
#include "scenario.hpp"

namespace deckcart::scenarios {

/// How a scenario is run.
struct ScenarioRunOptions {
    std::filesystem::path program;  ///< the deckcart binary, which runs as the gateways
    std::filesystem::path
        keep;  ///< folder for the gateways' logs and state; empty: a temporary one
    std::vector<std::string> shellFaults;  ///< --shell-fault options of every gateway
    bool quiet = false;                    ///< no progress on standard error
};

/// What a scenario run gave; the other fields are valid only where `fault` is empty.
struct ScenarioRun {
    std::string fault;  ///< why the scenario could not be run; empty: it ran
    Records records;
    std::vector<Violation> violations;
    nlohmann::json report;     ///< outcomes by route, rollout stages, votes, rules
    bool verdictRight = true;  ///< the rollout ended as the scenario expects
};

/// What the invariant checker needs to know of the scenario.
RuleParameters ruleParametersOf(const Scenario &scenario);
/// Blocks until the scenario has ended and all gateways have exited. Ignores SIGPIPE from then on.
ScenarioRun runScenario(const Scenario &scenario, const ScenarioRunOptions &options);
/// The report as lines of text.
std::string describe(const nlohmann::json &report);

}  // namespace deckcart::scenarios
