// The merged endpoint list as JSON: as GET /v1/members shows it, and as sources.json keeps it.
#pragma once

#include <deckcart/policy.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "../membership/merge.hpp"

namespace deckcart {

/// What is routed to and why, and what each source last said.
/// @param sources  the rules in the order of the view's sources
/// @param zones  their names by number
/// @param now  on the clock of the entries' start times
[[nodiscard]] nlohmann::json toJson(const membership::View &view,
                                    const std::vector<membership::SourceRule> &sources,
                                    const std::vector<std::string> &zones, TimePoint now);

/// What outlives the process: points in time are written as ages at `now`, zones by number.
[[nodiscard]] nlohmann::json toJson(const std::vector<membership::SavedSource> &saved,
                                    TimePoint now);
/// Reads it back, each age longer by what has passed since it was written. Throws
/// nlohmann::json::exception or ParseError where it is no such document.
/// @param now  on the reader's clock, which the result's times are on
[[nodiscard]] std::vector<membership::SavedSource> readSavedSources(const nlohmann::json &document,
                                                                    TimePoint now, Duration passed);

}  // namespace deckcart
