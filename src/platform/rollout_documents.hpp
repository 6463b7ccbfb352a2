// Parses and formats the control service's documents: rollout updates, usage reports, votes and
// vote replies. Used by PlatformControlPlaneClient and by the configuration. Performs no I/O.
#pragma once

#include <deckcart/policy.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "form.hpp"

namespace deckcart::platform {

/// Parses the state of the rollout, which is a JSON object in the configuration and a form in the
/// control service's stream.
/// @throws ParseError with the path of the invalid field
RolloutUpdate parseRolloutUpdate(const nlohmann::json &document);
RolloutUpdate parseRolloutUpdate(const Form &form);

/// @param routes  route names by index
/// @throws ParseError with the name of the invalid field
UsageReport parseUsageReport(const Form &form, const std::vector<std::string> &routes);

/// Parses the reply to a vote from its HTTP status and XML body. A malformed reply gives
/// Outcome::timeout instead of an exception, since the vote may have counted.
RolloutUpdate parseVoteReply(int status, const std::string &body);

/// Formats the vote as the form body of its POST request.
std::string formatVote(const Vote &vote);

}  // namespace deckcart::platform
