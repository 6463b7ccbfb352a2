// Warm-up fractions and send budgets of endpoints that have just started.
#include "slow_start.hpp"

#include <algorithm>

namespace deckcart::policy {
namespace {

using namespace std::chrono_literals;

// Maximum delay of the notice of an endpoint's start.
constexpr Duration kStartNoticeDelay = 1s;
// Maximum evidence age; the evidence age itself where no warm-up time is set.
constexpr Duration kMaxEvidenceAge = 5s;
// Fraction of the overload multiple that is used, since the sends of unequal gateways add up.
constexpr double kUsedOverloadFraction = 0.5;

}  // namespace

double SlowStart::warmUpFraction(Duration age) const {
    if (age >= settings.warmUpTime || settings.warmUpTime <= Duration{0})
        return 1;
    return settings.initialCapacity +
           (1 - settings.initialCapacity) *
               std::max(0.0, toSeconds(age) / toSeconds(settings.warmUpTime));
}

bool SlowStart::warmingUp(Duration age) const {
    return age < settings.warmUpTime + kStartNoticeDelay;
}

Duration SlowStart::evidenceAge() const {
    return settings.warmUpTime > Duration{0}
               ? std::min(kMaxEvidenceAge, settings.warmUpTime + kStartNoticeDelay)
               : kMaxEvidenceAge;
}

Duration SlowStart::retention() const {
    return settings.warmUpTime + settings.overloadWindow + kStartNoticeDelay;
}

// Limits the requests of all gateways together to an endpoint that is warming up. Within the
// overload window, or the part of it since the endpoint's start, each gateway sends at most a
// fraction of the overload multiple x the warm-up fraction x the responses of a warm endpoint to
// this gateway (which a burst does not raise). The limit is rounded by a random offset drawn once
// per start. Drawback: stages with few endpoints get little traffic.
bool SlowStart::withinBudget(SlowStartBudget &budget, Duration age, double answersPerEndpoint,
                             TimePoint now) const {
    if (!warmingUp(age))
        return true;
    dropUntil(budget.sends, now - settings.overloadWindow);
    const double elapsedFraction =
        toSeconds(std::clamp(age, Duration{0}, settings.overloadWindow)) /
        toSeconds(settings.overloadWindow);
    return double(budget.sends.size()) + 1 <=
           budget.roundingChance + settings.overloadMultiple * kUsedOverloadFraction *
                                       warmUpFraction(age) * elapsedFraction * answersPerEndpoint;
}

}  // namespace deckcart::policy
