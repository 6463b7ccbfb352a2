// The subcommands that call a gateway's API: settings, status, members. The response goes to
// standard output; the exit status is 0 for 2xx, 1 when there is no response or the gateway fails,
// 2 when it rejects the request.
#pragma once

#include "command.hpp"

namespace deckcart::cli {

[[nodiscard]] std::vector<Command> addApiCommands(CLI::App &program);

}  // namespace deckcart::cli
