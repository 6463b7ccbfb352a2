// Fake clients: an open loop of requests with affinity keys, tenants, idempotency keys and
// timeouts, retried as the scenario says, and records of the responses.
#pragma once

#include "../http/client.hpp"
#include "endpoint.hpp"

namespace deckcart::fakes {

/// The clients of a scenario run.
class Clients {
  public:
    /// weight: its part of the traffic.
    struct Gateway {
        asio::ip::tcp::endpoint listen, api;
        double weight = 1;
    };
    Clients(asio::io_context &context, FakeEnvironment &environment, std::vector<Gateway> gateways,
            std::uint64_t seed);
    ~Clients();

    /// Sends requests until the given time; see idle().
    void start(Duration until);
    /// Whether the last request has ended.
    bool idle() const { return arrivalsEnded && calls.empty() && pendingRetries == 0; }
    double burst = 1;               ///< factor of the request rate
    double retryStormAttempts = 1;  ///< above 1: clients of the first tenant send each request up
                                    ///< to this often, without delay

    /// Outcomes of the requests by route; a request and its retries count once.
    struct RouteOutcomes {
        double asked = 0, inTime = 0, late = 0, shed = 0, errored = 0, unanswered = 0, wrong = 0;
    };
    std::vector<RouteOutcomes> outcomes;
    /// Outcomes of the requests that started in one second, weighted by their benefit.
    struct SecondOutcome {
        double asked = 0, inTime = 0;
    };
    std::vector<SecondOutcome> seconds;  ///< by seconds since the start

  private:
    struct Request;
    class Call;
    void scheduleArrival();
    void sendAttempt(const std::shared_ptr<Request> &request, int avoidedGateway = -1);
    void finishCall(Call &call);
    void recordOutcome(const Request &request, scenarios::ClientEnd end, bool wrong, Duration at);
    double randomFraction() { return std::generate_canonical<double, 32>(rng); }

    asio::io_context &context;
    FakeEnvironment &environment;
    std::vector<Gateway> gateways;
    std::mt19937_64 rng;
    asio::steady_timer next;
    Duration startedAt{}, until{}, nextAt{};
    bool arrivalsEnded = false;
    int pendingRetries = 0;
    std::uint64_t lastId = 0;
    std::map<std::uint64_t, std::shared_ptr<Call>> calls;
    std::vector<std::vector<std::shared_ptr<http::ClientConnection>>> idleConnections;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace deckcart::fakes
