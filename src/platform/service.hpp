// The process of a gateway on the platform: its configuration, start, signals and end. Called by
// the command line.
#pragma once

#include <string>

#include "../base/log.hpp"

namespace deckcart::platform {

/// Runs until SIGTERM or SIGINT has ended it; a second SIGINT ends it at once; SIGHUP reads the
/// file again.
/// @param configurationFile  see configuration.hpp
/// @param requestLogSample  part of the requests that are logged, from 0 to 1
/// @return the exit status: 0; 1 when it can't listen; 2 when the file can't be read, with a log
///   line that names the field
int runGateway(const std::string &configurationFile, LogForm logs, double requestLogSample);

}  // namespace deckcart::platform
