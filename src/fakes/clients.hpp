// Stand-ins for clinics' and shops' systems: an open loop of requests with keys, tenants, marks and
// time-outs of their own, each tried again at most once, and a record of what came back.
#pragma once

#include "../http/client.hpp"
#include "endpoint.hpp"

namespace deckcart::fakes {

class Clients {
  public:
    struct Place {
        asio::ip::tcp::endpoint listen, api;
        double weight = 1;
    };
    Clients(asio::io_context &context, FakeEnvironment &world, std::vector<Place> gateways,
            std::uint64_t seed);
    ~Clients();

    void start(Duration until);
    bool idle() const { return ended && calls.empty() && waiting == 0; }
    double burst = 1;          // times the usual rate
    double heedlessTimes = 1;  // attempts of the first tenant's clients for each request

    // By route, of the requests asked: how they ended, retries counted as part of the first try.
    struct Service {
        double asked = 0, inTime = 0, late = 0, shed = 0, errored = 0, none = 0, wrong = 0;
    };
    std::vector<Service> service;
    struct Second {
        double asked = 0, inTime = 0;  // benefit
    };
    std::vector<Second> seconds;  // since the start

  private:
    struct Request;
    class Call;
    void arrive();
    void ask(const std::shared_ptr<Request> &request, int avoid = -1);
    void over(Call &call);
    void settle(const Request &request, scenarios::ClientEnd end, bool wrong, Duration at);
    double chance01() { return std::generate_canonical<double, 32>(chance); }

    asio::io_context &context;
    FakeEnvironment &world;
    std::vector<Place> gateways;
    std::mt19937_64 chance;
    asio::steady_timer next;
    Duration begun{}, until{}, nextAt{};
    bool ended = false;
    int waiting = 0;
    std::uint64_t named = 0;
    std::map<std::uint64_t, std::shared_ptr<Call>> calls;
    std::vector<std::vector<std::shared_ptr<http::ClientConnection>>> idleTo;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace deckcart::fakes
