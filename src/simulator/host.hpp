// Runs policies for the simulator: reads batches of events and writes the commands of the policies,
// one line for each batch. Makes no decisions itself.
#pragma once

#include <iosfwd>

namespace deckcart::simulator {

/// Reads batches until the end of input and writes one reply line for each.
/// @param errors  receives a message with the line number if a line is malformed
/// @return the exit status: 0 at the end of input, 2 after a malformed line
[[nodiscard]] int serve(std::istream &input, std::ostream &output, std::ostream &errors);

}  // namespace deckcart::simulator
