// The verbs of policy scripts; tests/README.md describes the notation.
#pragma once

#include "simulated_gateway.hpp"

namespace deckcart::test {

/// Executes one line. @throws ScriptFailure for a failed check or an unknown verb or keyword
void execute(const ScriptLine &line, SimulatedGateway &gateway);

}  // namespace deckcart::test
