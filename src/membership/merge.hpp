// What the sources of the list of instances last said, turned into the one set that is routed to,
// with a reason for each entry. The rule is the table in docs/design-membership.md. Pure: no I/O,
// no clock, no chance. It decides neither health nor routing: that is the decision module's.
#pragma once

#include <deckcart/policy.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace deckcart::membership {

enum class SourceKind { controlPlane, nodes, srv };
const char *nameOf(SourceKind kind);

struct SourceRule {
    std::string name;
    SourceKind kind = SourceKind::controlPlane;
};

struct MergeRules {
    std::vector<SourceRule> sources;  // the first has precedence
    // An hour outlasts most outages of name endpoints.
    Duration longestStale = std::chrono::hours(
        1);  // beyond the end of a reading's lifetime; then its source has failed
    double confirmShare =
        0.3;  // 0 to 1: a loss of more than this part of what a source listed is held
    Duration confirmAfter =
        std::chrono::seconds(5);  // a held loss told again so much later is believed
    // Longer than the usual route timeout, so that requests in hand end.
    Duration grace =
        std::chrono::seconds(30);  // what leaves the set is draining for so long, then gone
    // Of each build: the next class of priority opens while fewer live instances than reserveBelow
    // are in the open ones, and closes once those before it have reserveUntil. 1 <= reserveBelow <=
    // reserveUntil.
    int reserveBelow = 1, reserveUntil = 2;
};

constexpr int kNoClass = -1;
// A lifetime without end, as a fixed list has: far from overflow when added to a time.
constexpr Duration kForever = std::chrono::hours(24 * 365 * 100);

struct Claim {
    EndpointEntry entry;
    // Lower ones come first. kNoClass: its source knows no classes; it is in the first one,
    // whichever that is.
    int priority = -1;
    std::string as;  // what it stands as in its source: HOST:PORT of the target
};

// All that a source lists at one time.
struct Reading {
    Duration at{}, lifetime{};
    std::string from;  // who told: one name endpoint or another
    std::vector<Claim> claims;
    bool certain = false;  // set by hand: a loss needs no confirmation
    std::set<std::string>
        unknown;  // of `as`: nothing was learned of these, they stand as they were
};

enum class SourceState { never, fresh, stale, failed };
const char *nameOf(SourceState state);

struct SourceView {
    SourceState state = SourceState::never;
    Duration age{};                    // since its last reading
    Duration lifetimeLeft{};           // zero: over
    std::size_t listed = 0, held = 0;  // losses that wait for confirmation
    std::string from, fault;
};

struct Member {
    EndpointEntry entry;
    int priority = kNoClass;
    bool inSet = true;  // false: only shown
    std::string reason;
    std::vector<std::string> sources;  // that list it, by precedence
    Duration age{}, lifetimeLeft{};    // of the source that decides
    SourceState state = SourceState::never;
};

struct View {
    std::vector<Member> members;  // by id
    std::vector<SourceView> sources;
    std::vector<std::pair<std::size_t, Duration>>
        confirm;                        // sources to be asked again, and when (a time)
    std::optional<Duration> changesAt;  // look again then, though nothing is told
};

// What has to outlive the process. Times are spans since the clock's start, as everywhere.
struct SavedSource {
    std::string name, from;
    Duration at{}, lifetime{};
    std::vector<std::pair<Claim, Duration>> listed;  // and since when it is, live, without a break
    std::map<EndpointId, std::pair<EndpointState, Duration>> stops;
    std::map<EndpointId, Duration> withdrawn;
};

class Merge {
  public:
    explicit Merge(MergeRules rules);

    // Times don't go back within a source: a reading older than the last one is passed over.
    void took(std::size_t source, Reading reading);
    // Changes to what the source listed; those said gone leave its list.
    void tookChanges(std::size_t source, Duration at, const std::vector<Claim> &claims);
    // It can't be read: its last reading is stale from now on at the latest.
    void lost(std::size_t source, Duration at, const std::string &why);
    void failedOnce(std::size_t source,
                    const std::string &why);  // one try of many; the reading lives on

    // The set at a time not before any told so far.
    View at(Duration now);

    std::vector<SavedSource> saved() const;
    // Of a process before this one; before anything is told. Sources are found by name.
    void recall(const std::vector<SavedSource> &saved);
    // All that a merge under other rules knows, on the same clock; its sources by name.
    void adopt(const Merge &before);

  private:
    struct Held {
        Claim claim;
        Duration since{};  // listed live without a break since then
    };
    struct Stop {
        EndpointState state = EndpointState::draining;
        Duration since{};
    };
    struct Source {
        bool read = false;
        Duration at{}, freshUntil{};
        std::string from, fault;
        std::map<EndpointId, Held> listed;
        std::map<EndpointId, Stop> stops;          // told to stop: draining or gone
        std::map<EndpointId, Duration> withdrawn;  // listed once, not any more
        std::map<EndpointId, Duration> held;       // missing, waiting for confirmation since then
    };
    struct Place {
        EndpointEntry entry;
        int priority = kNoClass;
        std::optional<Duration> leaving;
    };
    // What the sources together say of one instance.
    struct Said {
        EndpointState state = EndpointState::active;
        bool listed = false;           // by the one that decides
        const Held *fields = nullptr;  // of the first that lists it
        std::size_t decider = 0;
        std::string reason;
    };
    SourceState stateOf(const Source &s, Duration now) const;
    Duration failsAt(const Source &s) const;
    void claim(Source &s, Duration at, const Claim &c, bool first);
    void withdraw(Source &s, const EndpointId &id, Duration at);
    Said say(const EndpointId &id, const std::vector<std::size_t> &ranks,
             std::size_t counted) const;
    void forget();

    MergeRules rules;
    std::vector<Source> sources;
    std::map<EndpointId, Place> set;
    std::map<BuildNumber, int> open;  // the last class of priority that is open
};

}  // namespace deckcart::membership
