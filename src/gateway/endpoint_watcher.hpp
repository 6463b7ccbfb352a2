// Watches the sources of the endpoint list, merges their data and passes the merged list on to the
// decision module. Owned by a gateway whose settings name sources. src/dns/query_schedule decides
// when DNS is queried, src/membership/merge which data is believed.
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

/// Used on the gateway's thread only.
class EndpointWatcher {
  public:
    using EventHandler = std::function<void(Event)>;
    using TimeSource = std::function<TimePoint()>;

    /// @param steadyClock  the resolver's clock
    /// @param now  the gateway's clock, which all times of the list refer to
    /// @param handler  receives each new list, and EndpointListFailed when the control plane's
    ///                 list has to be requested again
    /// @param saved  the state saved by an earlier process; ignored if `previous` is given
    /// @param previous  the watcher for the previous settings, whose state is taken over; may be
    ///                  null
    EndpointWatcher(asio::io_context &context, const Clock &steadyClock,
                    const GatewaySettings &settings, std::uint64_t seed, Log log, TimeSource now,
                    EventHandler handler, const std::vector<membership::SavedSource> &saved,
                    const EndpointWatcher *previous);
    EndpointWatcher(const EndpointWatcher &) = delete;
    EndpointWatcher &operator=(const EndpointWatcher &) = delete;

    /// Handles the control plane's list; ignored if the control plane is not one of the sources.
    void onControlPlaneUpdate(const EndpointListUpdate &list);
    void onControlPlaneFailure();
    /// Passes the current list on again, if there is one, at the request of the decision module.
    void republish();

    [[nodiscard]] membership::MergeResult view();
    [[nodiscard]] const std::vector<membership::SourceRule> &sources() const {
        return rules.sources;
    }
    [[nodiscard]] std::vector<membership::SavedSource> saved() const { return merge.save(); }
    /// DNS query counts; all zero if no source is an SRV name.
    [[nodiscard]] dns::ResolverCounts dnsCounts() const {
        return resolver ? resolver->counts() : dns::ResolverCounts{};
    }
    [[nodiscard]] TimePoint now() const { return clock(); }

    /// Called after a source was read, when there is new state to save.
    std::function<void()> onSourceRead;

  private:
    /// An SRV name and the index of its source.
    struct WatchedName {
        std::size_t source = 0;
        membership::SrvName srv;
    };
    enum class PublishMode { ifChanged, always };

    void addSources(const SourceSettings &sourceSettings);
    void watchNames(const SourceSettings &sourceSettings, asio::io_context &context,
                    const Clock &steadyClock, std::uint64_t seed);
    void onLookup(const std::string &name, const dns::LookupResult &found, Duration lifetime,
                  std::size_t server);
    void logLookup(const std::string &name, const dns::LookupResult &found);
    void sourceRead();
    void update(PublishMode mode);
    void publishList(PublishMode mode, const membership::MergeResult &view);
    void confirmLosses(const membership::MergeResult &view, TimePoint now);
    void scheduleUpdate(const membership::MergeResult &view, TimePoint now);

    TimeSource clock;
    EventHandler handler;
    Log log;
    membership::MergeRules rules;
    membership::Merge merge;
    std::optional<std::size_t> controlPlane;  // index into `rules.sources`
    std::map<std::string, WatchedName> watchedNames;
    std::vector<std::string> servers;      // HOST:PORT of each name server, by its index
    std::vector<EndpointEntry> published;  // the list last passed on to the decision module
    bool hasPublished = false;
    std::map<std::string, std::string> lastLookupErrors;  // by name, as logged
    asio::steady_timer timer;
    std::unique_ptr<dns::Resolver> resolver;
    CallbackGuard guard;
};

}  // namespace deckcart
