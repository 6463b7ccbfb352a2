// Whether a deployment has so many gateways that one of them sees only a small part of the traffic.
#pragma once

#include <deckcart/policy.hpp>

namespace deckcart::policy {

// From so many on, a gateway's own in-flight requests are a small part of what an endpoint holds.
constexpr int kManyGateways = 16;

inline bool hasManyGateways(const PolicySettings &settings) {
    return settings.gateways >= kManyGateways;
}

}  // namespace deckcart::policy
