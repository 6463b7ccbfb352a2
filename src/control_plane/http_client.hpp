// What a gateway and the control plane say to each other: the list and the stage by list and watch,
// votes as POST. Turns documents into events; when to follow, to ask again or to vote is the
// module's business.
#pragma once

#include <deckcart/policy.hpp>
#include <functional>
#include <nlohmann/json.hpp>

#include "../gateway/transport.hpp"
#include "../http/fetch.hpp"
#include "../settings/gateway_settings.hpp"

namespace deckcart {

// Reads and writes of the documents, shared with whoever speaks for the control plane. Bad ones
// throw std::invalid_argument with the place.
struct ListedEndpoint {
    EndpointId id;
    std::string zone;
    int cell = 0;
    BuildNumber build = 0;
    EndpointState state = EndpointState::active;
    double weight = 1;
    std::string incarnation;      // another one for each start of the instance
    std::optional<Duration> age;  // since that start, when this was written; empty: long ago
};
nlohmann::json toJson(const ListedEndpoint &endpoint);
ListedEndpoint readListed(const nlohmann::json &from);
// As the module takes it, but for when it started: that is on the reader's clock.
EndpointEntry entryOf(const ListedEndpoint &endpoint, const GatewaySettings &settings);

// The way back, with its age at `now`.
ListedEndpoint listedOf(const EndpointEntry &entry, const std::vector<std::string> &zones,
                        Duration now);

struct RolloutStage {
    BuildNumber build = 0;
    int step = 0;
    RolloutPhase phase = RolloutPhase::released;
    double exposureLimit = 1;
    Duration age{};
};
nlohmann::json toJson(const RolloutStage &stage);
RolloutStage readStage(const nlohmann::json &from);

const char *nameOf(Verdict verdict);
const char *nameOf(RolloutPhase phase);
std::optional<Verdict> verdictNamed(const std::string &name);

class HttpControlPlaneClient : public ControlPlaneClient {
  public:
    using Tell = std::function<void(Event)>;
    using Now = std::function<Duration()>;
    HttpControlPlaneClient(asio::io_context &context, const GatewaySettings &settings, Now now,
                           Tell tell);
    ~HttpControlPlaneClient() override;
    HttpControlPlaneClient(const HttpControlPlaneClient &) = delete;
    HttpControlPlaneClient &operator=(const HttpControlPlaneClient &) = delete;

    void follow(bool active) override;
    void vote(const Vote &vote, Duration within) override;

  private:
    void list();
    void watch();
    void took(const nlohmann::json &said);
    void tellList(const nlohmann::json &entries, bool complete);
    void tellStage(const nlohmann::json &from, bool isVoteReply, Outcome outcome);
    void lost();
    http::RequestHead request(const std::string &method, const std::string &target) const;

    asio::io_context &context;
    const GatewaySettings &settings;
    Now now;
    Tell tell;
    std::uint64_t version = 0, votesSent = 0;
    std::shared_ptr<http::Fetch> watching, listing;
    http::Fetches calls;
    // When each start of an instance was, on this gateway's clock: it must not move from one
    // telling to the next.
    std::map<std::pair<EndpointId, std::string>, Duration> starts;
};

}  // namespace deckcart
