// Control plane client over HTTP. GET /v1/fleet returns the full list, GET
// /v1/fleet?watch=VERSION streams changes as JSON lines, POST /v1/votes casts a vote. HttpTransport
// creates one per gateway. The documents are described in documents.hpp.
#pragma once

#include <cstdint>
#include <deckcart/policy.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "../http/fetch.hpp"
#include "../settings/gateway_settings.hpp"
#include "control_plane_client.hpp"
#include "documents.hpp"

namespace deckcart {

/// Turns the control plane's messages into events. Not thread-safe. The destructor stops all calls,
/// so that no callback reaches a destroyed client.
class HttpControlPlaneClient : public ControlPlaneClient {
  public:
    using TimeSource = std::function<TimePoint()>;
    using EventHandler = std::function<void(Event)>;

    /// @param gatewaySettings  read at each call, so that changes take effect; must outlive the
    ///                         client
    /// @param timeSource  the gateway's clock
    HttpControlPlaneClient(asio::io_context &ioContext, const GatewaySettings &gatewaySettings,
                           TimeSource timeSource, EventHandler eventHandler);
    ~HttpControlPlaneClient() override;
    HttpControlPlaneClient(const HttpControlPlaneClient &) = delete;
    HttpControlPlaneClient &operator=(const HttpControlPlaneClient &) = delete;

    void setSubscribed(bool active) override;
    void vote(const Vote &vote, Duration timeout) override;

  private:
    /// Identifies one start of an endpoint.
    struct Incarnation {
        EndpointId endpoint;
        std::string incarnation;
        bool operator<(const Incarnation &other) const {
            return std::tie(endpoint, incarnation) < std::tie(other.endpoint, other.incarnation);
        }
    };

    void stopCalls();
    void startList();
    void startWatch();
    void reportListFailure();
    void onList(const http::Fetched &answer);
    void onWatchEvent(const nlohmann::json &event);
    void onVoteReply(const http::Fetched &answer);
    void reportEndpoints(const nlohmann::json &entries, bool complete);
    void reportStage(const nlohmann::json &stage, bool isVoteReply);
    void reportUsage(const nlohmann::json &rows);
    [[nodiscard]] TimePoint startTimeOf(const ListedEndpoint &endpoint, Duration age);
    [[nodiscard]] std::string listTarget() const;

    asio::io_context &context;
    const GatewaySettings &settings;
    TimeSource now;
    EventHandler handler;
    std::uint64_t listVersion = 0;  // of the last list or watch event
    std::uint64_t votesSent = 0;
    std::shared_ptr<http::Fetch> listCall;
    std::shared_ptr<http::Fetch> watchCall;
    http::Fetches voteCalls;
    // Start time of each incarnation on this gateway's clock, computed when it is first seen. It
    // is kept because a start time must not change from one update to the next.
    std::map<Incarnation, TimePoint> startTimes;
};

}  // namespace deckcart
