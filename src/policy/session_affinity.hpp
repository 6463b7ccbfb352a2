// Affinity keys that a newer build has answered: they don't go back to an earlier one.
#pragma once

#include <deckcart/policy.hpp>
#include <map>
#include <string>

namespace deckcart::policy {

class SessionAffinity {
  public:
    explicit SessionAffinity(const PolicySettings &policySettings) : settings(policySettings) {}

    /// An attempt with this key has been sent to that build.
    void attemptSent(const std::string &key, BuildNumber build);
    /// It has ended, however.
    void attemptEnded(const std::string &key, BuildNumber build);
    /// What ended unread may have been answered well all the same: its key is bound as well. An
    /// error is an answer, and no good one. Guards against a key that goes back to an earlier
    /// build. Harm: keys bound to a bad build.
    void bind(const std::string &key, BuildNumber build, Outcome outcome);
    /// Once no build below the released one is listed, one number stands for all the keys, or they
    /// would add up for ever. Harm: earlier endpoints that return unannounced get nothing until
    /// the build is rolled back.
    void bindAll(BuildNumber build);
    /// Unbinds the keys of a build that is rolled back.
    void release(BuildNumber build);
    /// Whether a request with this key may go to that build; attempts at the rolled-back build do
    /// not count.
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
