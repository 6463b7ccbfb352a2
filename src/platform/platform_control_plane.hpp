// The gateway's client for the platform's discovery and control services: endpoint list, rollout
// updates, usage reports and votes. Created by PlatformTransport. The wire formats are described in
// docs/design-platform.md and in the platform's documentation. The decision module decides when to
// vote.
#pragma once

#include "../base/log.hpp"
#include "../gateway/transport.hpp"
#include "../http/fetch.hpp"
#include "../simulator/settings_codec.hpp"
#include "endpoint_directory.hpp"
#include "form.hpp"
#include "watch_stream.hpp"

namespace deckcart::platform {

/// Addresses of the platform's two services.
struct PlatformAddresses {
    asio::ip::tcp::endpoint discovery;
    asio::ip::tcp::endpoint control;
};

/// Watches both services once constructed and converts their documents into events. Not
/// thread-safe: all calls and callbacks are made on the io_context's thread.
class PlatformControlPlaneClient : public ControlPlaneClient {
  public:
    /// @param directory  updated from each list before the observer is notified; must outlive this
    ///   object
    /// @param settings  must outlive this object
    /// @param seed  of the reconnect jitter
    /// @param knownGeneration  generation of the list that the gateway starts with; older lists are
    ///   ignored
    PlatformControlPlaneClient(asio::io_context &context, EndpointDirectory &directory,
                               const simulator::DeploymentSettings &settings,
                               const PlatformAddresses &addresses, std::uint64_t seed, Log log,
                               std::int64_t knownGeneration, ControlPlaneObserver observer);

    /// Does nothing: both watches are always open, and the platform pushes updates unasked.
    void setSubscribed(bool active) override;
    /// Sends the vote once, without retries. The result is reported as a RolloutUpdate:
    /// Outcome::error if nothing was sent, Outcome::timeout if the vote may have counted.
    void vote(const Vote &vote, Duration within) override;
    /// Reconnects each watch whose address has changed; see WatchStream::connectTo().
    void setAddresses(const PlatformAddresses &addresses);

  private:
    WatchStream::Options listWatchOptions(std::uint64_t seed);
    WatchStream::Options rolloutWatchOptions(std::uint64_t seed);
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

/// Converts a list into an event, with start times on the gateway's clock.
EndpointListUpdate toEndpointListUpdate(const DiscoveryList &list);

}  // namespace deckcart::platform
