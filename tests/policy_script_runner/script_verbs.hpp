// The verbs of policy scripts; tests/README.md describes the notation.
#pragma once

#include "simulated_gateway.hpp"

namespace deckcart::test {

/// Carries out one line. @throws ScriptFailure where a check does not hold or the line is unknown
void play(const ScriptLine &line, SimulatedGateway &gateway);

}  // namespace deckcart::test
