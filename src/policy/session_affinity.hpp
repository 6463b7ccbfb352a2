// Session affinity: a key that a newer build has answered does not go back to an older one.
#pragma once

#include <deckcart/policy.hpp>
#include <map>
#include <string>

namespace deckcart::policy {

class SessionAffinity {
  public:
    explicit SessionAffinity(const PolicySettings &policySettings) : settings(policySettings) {}

    /// Records that an attempt with this key was sent to the build.
    void attemptSent(const std::string &key, BuildNumber build);
    /// Records the end of such an attempt, whatever its outcome.
    void attemptEnded(const std::string &key, BuildNumber build);
    /// Binds the key to the build unless the outcome proves that it was not answered. An attempt
    /// without a readable response may have succeeded, so its key is bound; an error response binds
    /// nothing. Prevents a key from going back to an older build. Drawback: keys get bound to a bad
    /// build.
    void bind(const std::string &key, BuildNumber build, Outcome outcome);
    /// Binds all keys to the build. Used once no build older than the released one has an active
    /// endpoint: a single number replaces the keys, which would accumulate otherwise. Drawback:
    /// older endpoints that return unannounced get no requests until the build is rolled back.
    void bindAll(BuildNumber build);
    /// Unbinds the keys of a build that is rolled back.
    void release(BuildNumber build);
    /// Whether a request with this key may go to the build. Attempts in flight at the rolled-back
    /// build are ignored.
    bool allows(const std::string &key, BuildNumber build, BuildNumber rolledBack) const;

  private:
    struct KeyAtBuild {
        std::string key;
        BuildNumber build = 0;
        bool operator<(const KeyAtBuild &other) const {
            const int order = key.compare(other.key);
            return order != 0 ? order < 0 : build < other.build;
        }
    };
    const PolicySettings &settings;
    std::map<std::string, BuildNumber> bound;
    BuildNumber allBound = 0;  // all keys are bound to this build or a later one
    std::map<KeyAtBuild, int> inFlight;
};

}  // namespace deckcart::policy
