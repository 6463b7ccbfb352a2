// Converts the result of an SRV lookup (RFC 2782) into a reading of a source. Called by the
// endpoint watcher. Pure.
#pragma once

#include "../dns/lookup.hpp"
#include "merge.hpp"

namespace deckcart::membership {

/// An SRV name of the settings, with the attributes of its endpoints.
struct SrvName {
    std::string name;  // canonical
    BuildNumber build = 0;
    int zone = 0;
    int cell = 0;
};

/// Makes one claim for each address of each target; an endpoint is identified by address and port.
/// Weights (RFC 2782) are relative to the greatest weight of the priority class, or 1 for all if no
/// target has one. A target with weight 0 beside others gets a hundredth of their least weight ("a
/// very small chance"). The addresses of a target share its weight. The results are in 0.001 to 1.
[[nodiscard]] Reading makeReading(const SrvName &name, const dns::LookupResult &found, TimePoint at,
                                  Duration lifetime, std::string from);

}  // namespace deckcart::membership
