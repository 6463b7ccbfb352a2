// deckcart scenario runs fault scenarios with real gateways; deckcart audit checks the rules
// against the records of a run.
#pragma once

#include "command.hpp"

namespace deckcart::cli {

[[nodiscard]] std::vector<Command> addScenarioCommands(CLI::App &program);

}  // namespace deckcart::cli
