// deckcart scenario and deckcart audit: play fault scenarios through real gateways, check records
// by the rules.
#pragma once

#include "command.hpp"

namespace deckcart::cli {

[[nodiscard]] std::vector<Command> addScenarioCommands(CLI::App &program);

}  // namespace deckcart::cli
