// The subcommands that call a gateway's API: settings, status, members. The answer goes to standard
// output; the exit status is 0 for 2xx, 1 when nobody answers or the gateway fails, 2 when it
// refuses what was given.
#pragma once

#include "command.hpp"

namespace deckcart::cli {

[[nodiscard]] std::vector<Command> addApiCommands(CLI::App &program);

}  // namespace deckcart::cli
