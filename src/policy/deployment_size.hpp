// Whether a deployment has so many gateways that each sees only a small part of the traffic.
#pragma once

#include <deckcart/policy.hpp>

namespace deckcart::policy {

/// From this number on, a gateway's own attempts are a small part of an endpoint's requests in
/// flight.
constexpr int kManyGateways = 16;

inline bool hasManyGateways(const PolicySettings &settings) {
    return settings.gateways >= kManyGateways;
}

}  // namespace deckcart::policy
