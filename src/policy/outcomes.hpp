// Classification of outcomes.
#pragma once

#include <deckcart/policy.hpp>

namespace deckcart::policy {

/// Whether the outcome proves that the request was not run.
inline bool provesNotRun(Outcome outcome) {
    return outcome == Outcome::overloaded || outcome == Outcome::connectFailed ||
           outcome == Outcome::obsolete;
}

/// Whether the outcome counts as a failure of the build. Rejections and failed connects are
/// problems of capacity or of the endpoint; cancellations are the gateway's own.
inline bool isFailure(Outcome outcome) {
    return outcome == Outcome::error || outcome == Outcome::timeout || outcome == Outcome::reset;
}

}  // namespace deckcart::policy
