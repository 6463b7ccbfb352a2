// Runs policies for the simulator: batches of events in, commands out, a line each. Takes no
// decision of its own.
#pragma once

#include <iosfwd>

namespace deckcart::simulator {

/// Reads batches until the end of input and writes one reply line to each.
/// @return the exit status: 0; 2 after a line that is no batch, which `errors` names
[[nodiscard]] int serve(std::istream &input, std::ostream &output, std::ostream &errors);

}  // namespace deckcart::simulator
