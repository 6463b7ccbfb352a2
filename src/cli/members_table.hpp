// The answer of GET /v1/members as a table for people.
#pragma once

#include <string>

namespace deckcart::cli {

/// The body itself where it is no JSON object.
[[nodiscard]] std::string membersTable(const std::string &body);

}  // namespace deckcart::cli
