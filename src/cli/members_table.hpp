// Formats the response of GET /v1/members as a table.
#pragma once

#include <string>

namespace deckcart::cli {

/// Returns the body unchanged where it is not a JSON object.
[[nodiscard]] std::string membersTable(const std::string &body);

}  // namespace deckcart::cli
