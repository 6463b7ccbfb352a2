// Whether the decision module may start anew while a gateway runs. Called by the gateway when its
// settings change. Pure.
#pragma once

#include <deckcart/policy.hpp>
#include <optional>

namespace deckcart::membership {

/// A module that starts anew knows no sticky key and no attempts of the exposure window: with two
/// builds live, or a canary, it could send more than the exposure limit to the canary. It guards
/// against that and could harm where settings have to change in the middle of a canary: that has to
/// end first.
[[nodiscard]] bool mayStartAnew(const std::vector<EndpointEntry> &listed,
                                std::optional<RolloutPhase> phase);

}  // namespace deckcart::membership
