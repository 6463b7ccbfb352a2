// Binding of keys to the newest build that may have answered them.
#include "session_affinity.hpp"

#include <algorithm>

#include "outcomes.hpp"

namespace deckcart::policy {

void SessionAffinity::attemptSent(const std::string &key, BuildNumber build) {
    if (settings.stickyKeys && !key.empty())
        ++inFlight[{key, build}];
}

void SessionAffinity::attemptEnded(const std::string &key, BuildNumber build) {
    const auto found = inFlight.find({key, build});
    if (found != inFlight.end() && --found->second == 0)
        inFlight.erase(found);
}

void SessionAffinity::bind(const std::string &key, BuildNumber build, Outcome outcome) {
    if (!settings.stickyKeys || key.empty() || build <= allBound)
        return;
    if (provesNotRun(outcome) || outcome == Outcome::error)
        return;
    BuildNumber &boundTo = bound[key];
    boundTo = std::max(boundTo, build);
}

void SessionAffinity::bindAll(BuildNumber build) {
    allBound = build;
    bound.clear();
}

void SessionAffinity::release(BuildNumber build) {
    std::erase_if(bound, [&](const auto &item) { return item.second >= build; });
    if (allBound >= build)
        allBound = 0;
}

bool SessionAffinity::allows(const std::string &key, BuildNumber build,
                             BuildNumber rolledBack) const {
    if (build < allBound)
        return false;
    const auto boundTo = bound.find(key);
    if (boundTo != bound.end() && build < boundTo->second)
        return false;
    // Not allowed either while an attempt is in flight at a newer build, which may have written its
    // response already. Covers responses that arrive late or are lost on a broken connection.
    // Drawback: such requests wait for the newer build's exposure limit.
    for (auto found = inFlight.upper_bound({key, build}); found != inFlight.end(); ++found) {
        if (found->first.key != key)
            break;
        if (found->first.build != rolledBack)
            return false;
    }
    return true;
}

}  // namespace deckcart::policy
