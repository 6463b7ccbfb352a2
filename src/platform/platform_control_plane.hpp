// The gateway's client of the platform's discovery and control service: endpoint list, rollout
// updates, usage reports and votes. Made by PlatformTransport; wire forms in
// docs/design-platform.md and in the platform's own pages. When to vote is the decision module's
// business.
#pragma once

#include "../base/log.hpp"
#include "../gateway/transport.hpp"
#include "../http/fetch.hpp"
#include "../simulator/settings_codec.hpp"
#include "endpoint_directory.hpp"
#include "form.hpp"
#include "watch_stream.hpp"

namespace deckcart::platform {

/// Where the platform's two services listen.
struct PlatformAddresses {
    asio::ip::tcp::endpoint discovery;
    asio::ip::tcp::endpoint control;
};

/// Watches both services from its construction on and turns their documents into events. One
/// thread, that of its io_context.
class PlatformControlPlaneClient : public ControlPlaneClient {
  public:
    /// @param directory  gets the addresses of each list, before the list is handed on
    /// @param settings  outlive this client
    /// @param knownGeneration  of the list that the gateway starts with; older lists are dropped
    PlatformControlPlaneClient(asio::io_context &context, EndpointDirectory &directory,
                               const simulator::DeploymentSettings &settings,
                               const PlatformAddresses &addresses, std::uint64_t seed, Log log,
                               std::int64_t knownGeneration, ControlPlaneObserver observer);

    /// Does nothing: the streams are always kept, as the platform sends by itself.
    void follow(bool active) override;
    /// Sends the vote once. Its outcome comes as a RolloutUpdate, Outcome::error where nothing was
    /// sent and Outcome::timeout where it may have counted.
    void vote(const Vote &vote, Duration within) override;
    /// Moves each stream whose address has changed; see WatchStream::connectTo().
    void setAddresses(const PlatformAddresses &addresses);

  private:
    WatchStream::Options listWatch(std::uint64_t seed);
    WatchStream::Options rolloutWatch(std::uint64_t seed);
    void onList(const DiscoveryList &list);
    void onRolloutEvent(const ServerSentEvent &event);

    asio::io_context &context;
    EndpointDirectory &directory;
    const simulator::DeploymentSettings &settings;
    PlatformAddresses addresses;
    ControlPlaneObserver observer;
    std::int64_t generation;
    WatchStream listStream;
    WatchStream rolloutStream;
    http::Fetches voteCalls;
};

/// The list as an event, its start times on the gateway's clock.
EndpointListUpdate toEndpointListUpdate(const DiscoveryList &list);

}  // namespace deckcart::platform
