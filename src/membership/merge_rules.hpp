// The parameters of the merge, read from the settings: docs/design-membership.md says what each
// row of the table does with them.
#pragma once

#include <deckcart/policy.hpp>
#include <string>
#include <vector>

namespace deckcart::membership {

enum class SourceKind { controlPlane, nodes, srv };
/// As the settings and the gateway's API write it.
[[nodiscard]] const char *nameOf(SourceKind kind);

struct SourceRule {
    std::string name;
    SourceKind kind = SourceKind::controlPlane;
};

struct MergeRules {
    /// The first has precedence.
    std::vector<SourceRule> sources;
    /// From the end of a reading's lifetime until its source has failed. An hour outlasts most
    /// outages of name servers.
    Duration longestStale = std::chrono::hours(1);
    /// 0 to 1: a loss of more than this part of what a source listed is held until confirmed.
    double confirmShare = 0.3;
    /// A held loss that is reported again so much later is believed.
    Duration confirmAfter = std::chrono::seconds(5);
    /// What leaves the set is draining for so long, then removed. Longer than the usual route
    /// timeout, so that requests in flight end.
    Duration grace = std::chrono::seconds(30);
    /// Of each build: the next priority class opens while fewer live endpoints than this are in
    /// the open ones. 1 <= reserveBelow <= reserveUntil.
    int reserveBelow = 1;
    /// The last open class closes once those before it have this many live endpoints.
    int reserveUntil = 2;
};

}  // namespace deckcart::membership
