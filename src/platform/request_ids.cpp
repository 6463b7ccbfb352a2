#include "request_ids.hpp"

namespace deckcart::platform {

bool RequestIdRegistry::add(const std::string &id, TimePoint now) {
    removeExpired(now);
    return knownIds.insert(id).second;
}

void RequestIdRegistry::markEnded(const std::string &id, TimePoint now) {
    ended.push_back({id, now});
    removeExpired(now);
}

void RequestIdRegistry::removeExpired(TimePoint now) {
    while (!ended.empty() && now - ended.front().endedAt > retention) {
        knownIds.erase(ended.front().id);
        ended.pop_front();
    }
}

}  // namespace deckcart::platform
