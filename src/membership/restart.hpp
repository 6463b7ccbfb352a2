// Whether the decision module may start anew while a gateway runs. Pure.
#pragma once

#include <deckcart/policy.hpp>
#include <optional>

namespace deckcart::membership {

// A module that starts anew knows no key that stays and no attempts of the exposure span: with two
// builds live, or one on trial, it could send more than the cap to the one on trial. It guards
// against that and could harm where settings have to change in the middle of a trial: the trial
// then has to end first.
bool mayStartAnew(const std::vector<EndpointEntry> &listed, std::optional<RolloutPhase> phase);

}  // namespace deckcart::membership
