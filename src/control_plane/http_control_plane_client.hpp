// The control plane client over HTTP: GET /v1/fleet lists, GET /v1/fleet?watch=VERSION streams JSON
// lines, POST /v1/votes votes. Made by HttpTransport, one for a gateway; documents in
// documents.hpp.
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

/// Turns what the control plane sends into events. One thread; its calls end with it, so that none
/// calls back into it afterwards.
class HttpControlPlaneClient : public ControlPlaneClient {
  public:
    using TimeSource = std::function<TimePoint()>;
    using EventHandler = std::function<void(Event)>;

    /// @param settings  read at each call, so that new ones take effect; outlive the client
    /// @param now  the gateway's clock
    HttpControlPlaneClient(asio::io_context &context, const GatewaySettings &settings,
                           TimeSource now, EventHandler handler);
    ~HttpControlPlaneClient() override;
    HttpControlPlaneClient(const HttpControlPlaneClient &) = delete;
    HttpControlPlaneClient &operator=(const HttpControlPlaneClient &) = delete;

    void follow(bool active) override;
    void vote(const Vote &vote, Duration within) override;

  private:
    /// One start of an endpoint.
    struct Incarnation {
        EndpointId endpoint;
        std::string incarnation;
        bool operator<(const Incarnation &other) const {
            return std::tie(endpoint, incarnation) < std::tie(other.endpoint, other.incarnation);
        }
    };

    void stop();
    void startList();
    void startWatch();
    void watchFailed();
    void onList(const http::Fetched &answer);
    void onWatchEvent(const nlohmann::json &event);
    void onVoteReply(const http::Fetched &answer);
    void reportEndpoints(const nlohmann::json &entries, bool complete);
    void reportStage(const nlohmann::json &stage, bool isVoteReply);
    void reportUsage(const nlohmann::json &rows);
    [[nodiscard]] TimePoint startOf(const ListedEndpoint &endpoint, Duration age);
    [[nodiscard]] std::string listTarget() const;

    asio::io_context &context;
    const GatewaySettings &settings;
    TimeSource now;
    EventHandler handler;
    std::uint64_t version = 0;  // of the list, as last read
    std::uint64_t votesSent = 0;
    std::shared_ptr<http::Fetch> listCall;
    std::shared_ptr<http::Fetch> watchCall;
    http::Fetches voteCalls;
    // When each start of an endpoint was, on this gateway's clock: it must not move from one
    // update to the next.
    std::map<Incarnation, TimePoint> startTimes;
};

}  // namespace deckcart
