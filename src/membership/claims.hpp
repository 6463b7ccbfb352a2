// What a lookup of an SRV name found, as the reading of a source. Called by the endpoint watcher;
// RFC 2782. Pure.
#pragma once

#include "../dns/lookup.hpp"
#include "merge.hpp"

namespace deckcart::membership {

/// What the settings say of the endpoints under one name.
struct SrvName {
    std::string name;  // canonical
    BuildNumber build = 0;
    int zone = 0;
    int cell = 0;
};

/// One claim for each address of each target: an endpoint is its address and port. Weights (RFC
/// 2782): relative to the greatest of the class, 1 for all if none has one; a weight of 0 beside
/// others gets a hundredth of the least of them, "a very small chance". A target's weight is shared
/// by its addresses. Within 0.001 to 1.
[[nodiscard]] Reading readingOf(const SrvName &name, const dns::Found &found, TimePoint at,
                                Duration lifetime, std::string from);

}  // namespace deckcart::membership
