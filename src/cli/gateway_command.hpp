// deckcart gateway: runs a gateway, standalone or on the users' platform.
#pragma once

#include "command.hpp"

namespace deckcart::cli {

[[nodiscard]] Command addGatewayCommand(CLI::App &program);

}  // namespace deckcart::cli
