// The parameters of the merge, read from the settings. The rows of the table in
// docs/design-membership.md state how each of them is used.
#pragma once

#include <deckcart/policy.hpp>
#include <string>
#include <vector>

namespace deckcart::membership {

enum class SourceKind { controlPlane, nodes, srv };
/// The name of the kind in the settings and in the gateway's API.
[[nodiscard]] const char *nameOf(SourceKind kind);

struct SourceRule {
    std::string name;
    SourceKind kind = SourceKind::controlPlane;
};

struct MergeRules {
    /// In order of precedence, highest first.
    std::vector<SourceRule> sources;
    /// Time from the end of a reading's lifetime until its source counts as failed. One hour
    /// outlasts most outages of name servers.
    Duration maxStaleness = std::chrono::hours(1);
    /// 0 to 1: if a reading leaves out more than this fraction of what its source listed, the
    /// losses are held until confirmed.
    double confirmFraction = 0.3;
    /// A held loss is believed if it is reported again at least this long after the first report.
    Duration confirmAfter = std::chrono::seconds(5);
    /// An endpoint that leaves the set is draining for this time, then removed. Longer than the
    /// usual route timeout, so that requests in flight can complete.
    Duration grace = std::chrono::seconds(30);
    /// Per build: the next priority class opens while the open classes have fewer live endpoints
    /// than this. 1 <= reserveBelow <= reserveUntil.
    int reserveBelow = 1;
    /// The last open class closes once the classes before it have this many live endpoints.
    int reserveUntil = 2;
};

}  // namespace deckcart::membership
