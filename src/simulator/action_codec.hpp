// Actions of a gateway's policy as the simulator's commands (WIRE page of the users).
#pragma once

#include <deckcart/policy.hpp>
#include <nlohmann/json.hpp>

namespace deckcart::simulator {

[[nodiscard]] nlohmann::json writeAction(GatewayId gateway, const Action &action);

}  // namespace deckcart::simulator
