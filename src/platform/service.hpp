// The process of a gateway on the platform: its configuration, its signals.
#pragma once

#include <string>

#include "../base/log.hpp"

namespace deckcart::platform {

// Runs until SIGTERM or SIGINT has ended it; SIGHUP reads the file again. Returns the exit status:
// 0; 1 when it can't listen; 2 when the file can't be read, with a line that names the field.
int runGateway(const std::string &file, LogForm logs,
               double requestLogSample);  // part of the requests that are logged

}  // namespace deckcart::platform
