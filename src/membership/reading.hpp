// What a source of the endpoint list reports: one reading lists all that it has. Filled by
// claims.cpp, the settings and the endpoint watcher, read by the merge.
#pragma once

#include <deckcart/policy.hpp>
#include <set>
#include <string>
#include <vector>

namespace deckcart::membership {

/// Priority class of a claim whose source knows no classes.
constexpr int kNoClass = -1;
/// A lifetime without end, as a fixed list has: far from overflow when added to a point in time.
constexpr Duration kForever = std::chrono::hours(24 * 365 * 100);

/// One endpoint as a source lists it.
struct Claim {
    EndpointEntry entry;
    /// Lower ones come first. kNoClass: in the first class, whichever that is.
    int priority = kNoClass;
    /// What it stands as in its source: HOST:PORT or the name of the target.
    std::string as;
};

/// All that a source lists at one time.
struct Reading {
    TimePoint at{};
    Duration lifetime{};
    /// Who reported: one name server or another.
    std::string from;
    std::vector<Claim> claims;
    /// Set by hand: a loss needs no confirmation.
    bool certain = false;
    /// Values of Claim::as of which nothing was learned: what is listed as these stays as it was.
    std::set<std::string> unknown;
};

}  // namespace deckcart::membership
