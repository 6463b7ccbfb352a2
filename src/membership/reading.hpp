// A reading: the complete endpoint list that one source reports at one time. Created by claims.cpp,
// the settings and the endpoint watcher; consumed by the merge.
#pragma once

#include <deckcart/policy.hpp>
#include <set>
#include <string>
#include <vector>

namespace deckcart::membership {

/// Priority of a claim whose source has no priority classes.
constexpr int kNoPriorityClass = -1;
/// An unlimited lifetime, as a fixed list has. Small enough not to overflow when it is added to a
/// point in time.
constexpr Duration kUnlimitedLifetime = std::chrono::hours(24 * 365 * 100);

/// One endpoint as a source lists it.
struct Claim {
    EndpointEntry entry;
    /// Priority class; lower values are preferred. kNoPriorityClass: always counted with the first
    /// class.
    int priority = kNoPriorityClass;
    /// What the source lists the endpoint under: HOST:PORT, or the target of the SRV record.
    std::string listedAs;
};

/// The complete list of a source at one time.
struct Reading {
    /// When the source was read.
    TimePoint readAt{};
    Duration lifetime{};
    /// Who reported it, such as one of several name servers.
    std::string reporter;
    std::vector<Claim> claims;
    /// Set by the operator: losses are believed without confirmation.
    bool lossesConfirmed = false;
    /// Values of Claim::listedAs that could not be resolved this time. Endpoints listed under them
    /// are kept unchanged.
    std::set<std::string> unresolved;
};

}  // namespace deckcart::membership
