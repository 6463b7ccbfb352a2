// Watches the sources of the endpoint list, hands what they say to the merge and the merged list to
// the decision module. Owned by the gateway where settings name sources. Chooses nothing: when to
// query DNS is src/dns/query_schedule's business, what is believed src/membership/merge's.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "../base/callback_guard.hpp"
#include "../base/log.hpp"
#include "../dns/resolver.hpp"
#include "../settings/gateway_settings.hpp"
#include "endpoint_documents.hpp"

namespace deckcart {

/// On the gateway's thread.
class EndpointWatcher {
  public:
    using EventHandler = std::function<void(Event)>;
    using TimeSource = std::function<TimePoint()>;

    /// @param steady  the resolver's clock
    /// @param now  the gateway's clock, which all times of the list are on
    /// @param handler  takes each new list, and EndpointListFailed when the control plane is to be
    ///                 listed anew
    /// @param saved  what a process before this one knew; unused with `before`
    /// @param before  the watcher of the settings before these, whose knowledge is taken over; may
    ///                be null
    EndpointWatcher(asio::io_context &context, const Clock &steady, const GatewaySettings &settings,
                    std::uint64_t seed, Log log, TimeSource now, EventHandler handler,
                    const std::vector<membership::SavedSource> &saved,
                    const EndpointWatcher *before);
    EndpointWatcher(const EndpointWatcher &) = delete;
    EndpointWatcher &operator=(const EndpointWatcher &) = delete;

    /// The control plane's list, which counts where it is a source.
    void onControlPlaneUpdate(const EndpointListUpdate &list);
    void onControlPlaneFailure();
    /// Hands over the list as it is now, if there is one: the decision module asks for it.
    void reportAgain();

    [[nodiscard]] membership::View view();
    [[nodiscard]] const std::vector<membership::SourceRule> &sources() const {
        return rules.sources;
    }
    [[nodiscard]] std::vector<membership::SavedSource> saved() const { return merge.saved(); }
    /// DNS queries so far; zeros where no source is an SRV name.
    [[nodiscard]] dns::ResolverCounts asked() const {
        return resolver ? resolver->counts() : dns::ResolverCounts{};
    }
    [[nodiscard]] TimePoint now() const { return clock(); }

    std::function<void()> onRead;  ///< a source was read: there is something to save

  private:
    /// An SRV name and the source that it is.
    struct WatchedName {
        std::size_t source = 0;
        membership::SrvName srv;
    };
    enum class Report { changes, always };

    void addSources(const SourceSettings &given);
    void watchNames(const SourceSettings &given, asio::io_context &context, const Clock &steady,
                    std::uint64_t seed);
    void onLookup(const std::string &name, const dns::Found &found, Duration lifetime,
                  std::size_t server);
    void logLookup(const std::string &name, const dns::Found &found);
    void sourceRead();
    void update(Report report);
    void reportList(Report report, const membership::View &view);
    void confirmLosses(const membership::View &view, TimePoint now);
    void scheduleUpdate(const membership::View &view, TimePoint now);

    TimeSource clock;
    EventHandler handler;
    Log log;
    membership::MergeRules rules;
    membership::Merge merge;
    std::optional<std::size_t> controlPlane;  // its place among the sources
    std::map<std::string, WatchedName> names;
    std::vector<std::string> servers;     // HOST:PORT of the name servers, by number
    std::vector<EndpointEntry> reported;  // as the decision module has it
    bool hasReported = false;
    std::map<std::string, std::string> lookupFaults;  // by name, as logged
    asio::steady_timer timer;
    std::unique_ptr<dns::Resolver> resolver;
    CallbackGuard guard;
};

}  // namespace deckcart
