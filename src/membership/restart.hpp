// Whether the decision module may be restarted while its gateway runs. Called by the gateway when
// its settings change. Pure.
#pragma once

#include <deckcart/policy.hpp>
#include <optional>

namespace deckcart::membership {

/// True if at most one build is live and no canary is in progress. A restarted module has lost its
/// sticky keys and the attempts in its exposure window: with two live builds, or during a canary,
/// it could send more requests to the canary than the exposure limit allows. The cost of this check
/// is that some changes of the settings can't take effect before the canary has ended.
[[nodiscard]] bool mayRestartPolicy(const std::vector<EndpointEntry> &listed,
                                    std::optional<RolloutPhase> phase);

}  // namespace deckcart::membership
