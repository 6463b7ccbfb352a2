// Encodes the actions of a gateway's policy as the simulator's commands. The protocol is described
// in the users' WIRE page.
#pragma once

#include <deckcart/policy.hpp>
#include <nlohmann/json.hpp>

namespace deckcart::simulator {

/// Encodes one action as a command of the given gateway.
[[nodiscard]] nlohmann::json writeAction(GatewayId gateway, const Action &action);

}  // namespace deckcart::simulator
