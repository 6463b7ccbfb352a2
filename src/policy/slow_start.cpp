// Warm-up fraction and budget of endpoints that have just started.
#include "slow_start.hpp"

#include <algorithm>

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

// An endpoint's start may become known so late.
constexpr Duration kStartMargin = 1s;
// Answers of endpoints younger than this are no evidence, where the settings allow so long.
constexpr Duration kEvidenceAge = 5s;
// The part of the overload multiple that is used: unequal gateways add up.
constexpr double kUsedPart = 0.5;

}  // namespace

double SlowStart::warmUpFraction(Duration age) const {
    if (age >= settings.warmUpTime || settings.warmUpTime <= Duration{0})
        return 1;
    return settings.initialCapacity +
           (1 - settings.initialCapacity) *
               std::max(0.0, toSeconds(age) / toSeconds(settings.warmUpTime));
}

bool SlowStart::warmingUp(Duration age) const {
    return age < settings.warmUpTime + kStartMargin;
}

Duration SlowStart::evidenceAge() const {
    return settings.warmUpTime > Duration{0}
               ? std::min(kEvidenceAge, settings.warmUpTime + kStartMargin)
               : kEvidenceAge;
}

Duration SlowStart::memory() const {
    return settings.warmUpTime + settings.overloadWindow + kStartMargin;
}

// Guards an endpoint that is warming up against all gateways together: over the stated window, as
// far as it has run, each sends a part of the overload multiple x its warm-up fraction x what a
// warm endpoint has answered of this gateway's requests (no burst raises that); the broken part of
// a request by a chance drawn once a start. Harm: small stages.
bool SlowStart::withinBudget(SlowStartBudget &budget, Duration age, double answersPerEndpoint,
                             TimePoint now) const {
    if (!warmingUp(age))
        return true;
    dropUntil(budget.sends, now - settings.overloadWindow);
    const double run = toSeconds(std::clamp(age, Duration{0}, settings.overloadWindow)) /
                       toSeconds(settings.overloadWindow);
    return double(budget.sends.size()) + 1 <=
           budget.roundingChance + settings.overloadMultiple * kUsedPart * warmUpFraction(age) *
                                       run * answersPerEndpoint;
}

}  // namespace deckcart::policy
