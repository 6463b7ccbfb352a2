// What the outcome of an attempt proves.
#pragma once

#include <deckcart/policy.hpp>

namespace deckcart::policy {

/// Whether the outcome proves that the request was not run.
inline bool provesNotRun(Outcome outcome) {
    return outcome == Outcome::overloaded || outcome == Outcome::connectFailed ||
           outcome == Outcome::obsolete;
}

/// Whether it speaks against the build. Rejections and failed connects are capacity or endpoint
/// faults; cancelled attempts were our own doing.
inline bool isFailure(Outcome outcome) {
    return outcome == Outcome::error || outcome == Outcome::timeout || outcome == Outcome::reset;
}

}  // namespace deckcart::policy
