#include "request_ids.hpp"

#include <functional>

namespace deckcart::platform {

bool RequestIdRegistry::add(const std::string &id, TimePoint now) {
    removeExpired(now);
    if (endedFingerprints.contains(fingerprintOf(id)))
        return false;
    return inFlight.insert(id).second;
}

void RequestIdRegistry::markEnded(const std::string &id, bool forwarded, TimePoint now) {
    inFlight.erase(id);
    removeExpired(now);
    if (!forwarded)
        return;
    const Fingerprint fingerprint = fingerprintOf(id);
    ended.push_back({fingerprint, now});
    endedFingerprints.insert(fingerprint);
    if (ended.size() > endedCapacity)
        dropOldest();
}

RequestIdRegistry::Fingerprint RequestIdRegistry::fingerprintOf(const std::string &id) {
    return std::hash<std::string>{}(id);
}

void RequestIdRegistry::dropOldest() {
    endedFingerprints.erase(ended.front().fingerprint);
    ended.pop_front();
}

void RequestIdRegistry::removeExpired(TimePoint now) {
    while (!ended.empty() && now - ended.front().endedAt > retention)
        dropOldest();
}

}  // namespace deckcart::platform
