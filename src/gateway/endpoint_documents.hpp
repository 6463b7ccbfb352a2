// JSON forms of the merged endpoint list: for GET /v1/members, and for sources.json.
#pragma once

#include <deckcart/policy.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "../membership/merge.hpp"

namespace deckcart {

/// The merged endpoints with the reason for their inclusion, and the state of each source.
/// @param sources  the rules, in the order of `view.sources`
/// @param zones  zone names by number
/// @param now  on the clock of the entries' start times
[[nodiscard]] nlohmann::json toJson(const membership::MergeResult &view,
                                    const std::vector<membership::SourceRule> &sources,
                                    const std::vector<std::string> &zones, TimePoint now);

/// The state of the sources that is kept across restarts. Times are written as ages relative to
/// `now`, zones as numbers.
[[nodiscard]] nlohmann::json toJson(const std::vector<membership::SavedSource> &saved,
                                    TimePoint now);
/// Reads such a document, adding the time that has passed since it was written to each age. Throws
/// nlohmann::json::exception or ParseError if the document is invalid.
/// @param now  on the caller's clock, which the times of the result refer to
[[nodiscard]] std::vector<membership::SavedSource> readSavedSources(const nlohmann::json &document,
                                                                    TimePoint now, Duration passed);

}  // namespace deckcart
