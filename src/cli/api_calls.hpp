// The subcommands that call a gateway's API: one call, its answer on standard output, its status as
// exit status.
#pragma once

#include <string>

namespace deckcart::cli {

// 0 for 2xx; 1 when nobody answers or the gateway fails; 2 when it refuses what was given.
int get(const std::string &api, const std::string &path);
// The set with its reasons as a table, or as the gateway tells it.
int members(const std::string &api, bool asJson);
// Reads the document from a file, or from standard input for "-"; checks it here first, so that a
// refused one is named with its places even before a gateway is asked.
int applySettings(const std::string &api, const std::string &file);
int checkSettings(const std::string &file);

}  // namespace deckcart::cli
