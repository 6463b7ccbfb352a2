// The control service's documents: rollout updates, usage reports, votes and their replies. Used by
// the control plane client and by the configuration. Pure.
#pragma once

#include <deckcart/policy.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "form.hpp"

namespace deckcart::platform {

/// Throws ParseError with the field's place.
RolloutUpdate parseRolloutUpdate(const nlohmann::json &document);
RolloutUpdate parseRolloutUpdate(const Form &form);

/// @param routes  names in the order of the routes' numbers
/// Throws ParseError with the field's place.
UsageReport parseUsageReport(const Form &form, const std::vector<std::string> &routes);

/// Reads the reply to a vote: its HTTP status and its XML body. Never throws: a reply that can't be
/// read is Outcome::timeout, as the vote may have counted.
RolloutUpdate parseVoteReply(int status, const std::string &body);

/// The vote as the body of its POST.
std::string formatVote(const Vote &vote);

}  // namespace deckcart::platform
