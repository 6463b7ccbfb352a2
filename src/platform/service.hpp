// Runs a gateway as a process on the platform: configuration, startup, signals and shutdown. Called
// by the command line.
#pragma once

#include <string>

#include "../base/log.hpp"

namespace deckcart::platform {

/// Runs until SIGTERM or SIGINT, which start a graceful shutdown; a later SIGINT exits immediately.
/// SIGHUP reloads the configuration file.
/// @param configurationFile  path of the document described in configuration.hpp
/// @param requestLogSample  fraction of the requests that are logged, from 0 to 1
/// @return the exit status: 0 after a shutdown; 1 if it cannot listen; 2 if the configuration is
///   missing or invalid, with a log line that names the field
int runGateway(const std::string &configurationFile, LogFormat logs, double requestLogSample);

}  // namespace deckcart::platform
