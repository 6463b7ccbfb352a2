// deckcart gateway: the gateway as a process, on its own or on the users' platform.
#pragma once

#include "command.hpp"

namespace deckcart::cli {

[[nodiscard]] Command addGatewayCommand(CLI::App &program);

}  // namespace deckcart::cli
