#include "clients.hpp"

#include <cmath>

#include "../http/fetch.hpp"

namespace deckcart::fakes {

using scenarios::ClientEnd;
using scenarios::ClientRecord;

constexpr auto kHangUpDelay =
    std::chrono::milliseconds(20);  // clients hang up this long after their timeout

struct Clients::Request {
    int route = 0, attempts = 0, maxAttempts = 1;
    std::string key, tenant, idempotencyKey;
    double workMs = 0;
    Duration startedAt{}, givesUp{};
};

class Clients::Call : public http::CallHandler, public std::enable_shared_from_this<Call> {
  public:
    Call(Clients &owner, std::shared_ptr<Request> callRequest)
        : clients(owner), request(std::move(callRequest)), timer(owner.context) {}
    void onResponseHead(const http::ResponseHead &head) override { response = head; }
    void onResponseBody(std::string_view) override {}
    void onCallEnd(http::CallEnd end) override {
        const auto keepAlive = shared_from_this();
        callEnd = end;
        clients.finishCall(*this);
    }

    Clients &clients;
    std::shared_ptr<Request> request;
    std::uint64_t id = 0;
    std::size_t recordIndex = 0;
    int gateway = 0;
    bool timedOut = false;
    http::CallEnd callEnd = http::CallEnd::connectionLost;
    http::ResponseHead response;
    std::shared_ptr<http::ClientConnection> connection;
    asio::steady_timer timer;
};

Clients::Clients(asio::io_context &io, FakeEnvironment &shared, std::vector<Gateway> targets,
                 std::uint64_t seed)
    : outcomes(shared.scenario.routes.size()), context(io), environment(shared),
      gateways(std::move(targets)), rng(seed), next(io), idleConnections(gateways.size()) {}

Clients::~Clients() {
    for (auto &[id, call] : calls)
        call->connection->drop();
    for (auto &list : idleConnections)
        for (auto &connection : list)
            connection->onIdleClosed = nullptr, connection->drop();
}

void Clients::start(Duration end) {
    startedAt = nextAt = environment.clock.now(), until = end;
    seconds.resize(std::size_t((until - startedAt) / std::chrono::seconds(1)) + 1);
    scheduleArrival();
}

void Clients::scheduleArrival() {
    nextAt += Duration{std::llround(-std::log(1 - randomFraction()) /
                                    (environment.scenario.requestsPerSecond * burst) * 1e6)};
    if (nextAt >= until)
        return void(arrivalsEnded = true);
    next.expires_after(std::max(Duration{0}, nextAt - environment.clock.now()));
    next.async_wait([this, clientsAlive = std::weak_ptr(alive)](asio::error_code fault) {
        if (fault || clientsAlive.expired())
            return;
        const auto &scenario = environment.scenario;
        const auto request = std::make_shared<Request>();
        double totalShare = 0;
        for (const auto &route : scenario.routes)
            totalShare += route.share;
        double position = randomFraction() * totalShare;
        while (request->route + 1 < int(scenario.routes.size()) &&
               position >= scenario.routes[std::size_t(request->route)].share)
            position -= scenario.routes[std::size_t(request->route++)].share;
        const auto &route = scenario.routes[std::size_t(request->route)];
        // The distribution favors keys with low numbers.
        request->key = "k" + std::to_string(int(scenario.keyCount * std::pow(randomFraction(), 3)));
        double tenantPosition = randomFraction();
        for (std::size_t tenant = 0; tenant < scenario.tenants.size(); ++tenant)
            if ((tenantPosition -= scenario.tenantQuotas[tenant]) < 0 ||
                tenant + 1 == scenario.tenants.size()) {
                request->tenant = scenario.tenants[tenant];
                break;
            }
        request->idempotencyKey = "m" + std::to_string(++lastId);
        request->workMs = route.minWorkMs + (route.maxWorkMs - route.minWorkMs) * randomFraction();
        request->startedAt = environment.clock.now(),
        request->givesUp = request->startedAt + route.routeTimeout;
        request->maxAttempts = 1 + scenario.maxRetries;
        const bool retryStorm = retryStormAttempts > 1 && !scenario.tenants.empty() &&
                                request->tenant == scenario.tenants.front();
        if (retryStorm)
            request->maxAttempts = int(retryStormAttempts);
        outcomes[std::size_t(request->route)].asked += 1;
        sendAttempt(request);
        scheduleArrival();
    });
}

void Clients::sendAttempt(const std::shared_ptr<Request> &request, int avoidedGateway) {
    const auto &scenario = environment.scenario;
    const Duration now = environment.clock.now();
    double totalWeight = 0;
    for (std::size_t index = 0; index < gateways.size(); ++index)
        totalWeight += int(index) == avoidedGateway ? 0 : gateways[index].weight;
    double position = randomFraction() * totalWeight;
    int gateway = 0;
    for (std::size_t index = 0; index < gateways.size(); ++index) {
        if (int(index) == avoidedGateway)
            continue;
        gateway = int(index);
        if ((position -= gateways[index].weight) < 0)
            break;
    }
    const auto call = std::make_shared<Call>(*this, request);
    call->id = ++lastId, call->gateway = gateway,
    call->recordIndex = environment.records.clients.size();
    ++request->attempts;
    const auto &route = scenario.routes[std::size_t(request->route)];
    const Duration patience = Duration{
        std::llround(double(route.routeTimeout.count()) *
                     (scenario.minPatience + (1 - scenario.minPatience) * randomFraction()))};
    ClientRecord record;
    record.requestId = "r" + std::to_string(call->id), record.route = request->route,
    record.gateway = gateway, record.key = request->key;
    record.sent = now, record.givesUp = std::min(now + patience, request->givesUp);
    const Duration timeLeft = record.givesUp - now;
    auto &idleOfGateway = idleConnections[std::size_t(gateway)];
    while (!idleOfGateway.empty() && !idleOfGateway.back()->reusable())
        idleOfGateway.pop_back();
    if (idleOfGateway.empty())
        call->connection = std::make_shared<http::ClientConnection>(context, std::size_t{16384});
    else
        call->connection = idleOfGateway.back(), idleOfGateway.pop_back(),
        call->connection->onIdleClosed = nullptr;
    http::RequestHead head;
    head.method = route.method, head.target = "/" + route.name + "/" + request->key;
    head.headers = {{"Host", "relay"},
                    {"X-Request-Id", record.requestId},
                    {"X-Key", request->key},
                    {"Idempotency-Key", request->idempotencyKey},
                    {"X-Work-Ms", std::to_string(request->workMs)},
                    {"X-Remaining-Ms", std::to_string(timeLeft.count() / 1000)}};
    if (!request->tenant.empty())
        head.headers.emplace_back("X-Account", request->tenant);
    if (request->attempts > 1)
        head.headers.emplace_back("X-Repeat", "1");
    head.length = 5;
    environment.records.clients.push_back(std::move(record));
    calls[call->id] = call;
    call->timer.expires_after(timeLeft + kHangUpDelay);
    call->timer.async_wait([this, weakCall = std::weak_ptr(call),
                            clientsAlive = std::weak_ptr(alive)](asio::error_code fault) {
        const auto expired = weakCall.lock();
        if (fault || !expired || clientsAlive.expired() || !calls.contains(expired->id))
            return;
        expired->timedOut = true;
        expired->connection->drop();
        finishCall(*expired);
    });
    call->connection->call(gateways[std::size_t(gateway)].listen, timeLeft,
                           http::write(head) + "hello", false, call.get());
}

void Clients::finishCall(Call &call) {
    const auto keepAlive = call.shared_from_this();
    calls.erase(call.id);
    call.timer.cancel();
    const Duration now = environment.clock.now();
    auto &record = environment.records.clients[call.recordIndex];
    const auto request = call.request;
    const auto *endHeader = call.response.find("Deckcart-End");
    bool wrong = false;
    Duration retryDelay = std::chrono::milliseconds(100);
    if (call.timedOut)
        record.end = ClientEnd::none;
    else if (call.callEnd == http::CallEnd::complete) {
        record.answers = 1, record.answered = now;
        const std::string end = endHeader ? *endHeader : "";
        record.end = end == "completed" ? ClientEnd::completed
                     : end == "shed"    ? ClientEnd::shed
                                        : ClientEnd::errored;
        if (const auto *build = call.response.find("X-Build"))
            record.build = std::atoi(build->c_str());
        wrong = call.response.find("X-Wrong") != nullptr;
        if (const auto *delayMs = call.response.find("Deckcart-Retry-Ms"))
            retryDelay = std::chrono::milliseconds(std::atoi(delayMs->c_str()));
        // The connection is still observed, because a second response would come on it.
        call.connection->onIdleClosed = [this, recordIndex = call.recordIndex,
                                         weakConnection = std::weak_ptr(call.connection),
                                         clientsAlive = std::weak_ptr(alive)] {
            const auto connection = weakConnection.lock();
            if (clientsAlive.expired() || !connection)
                return;
            if (connection->spokeUnasked())
                ++environment.records.clients[recordIndex].answers;
        };
        if (call.connection->spokeUnasked())
            ++record.answers;
        if (call.connection->reusable())
            idleConnections[std::size_t(call.gateway)].push_back(call.connection);
    } else {
        const bool unsent =
            call.callEnd == http::CallEnd::connectFailed || !call.connection->startedSending();
        record.end = unsent ? ClientEnd::unreached : ClientEnd::cut;
    }
    const auto &scenario = environment.scenario;
    const auto &rule = scenario.routes[std::size_t(request->route)].rule;
    if (wrong && scenario.incorrectReportRate > 0 &&
        randomFraction() < scenario.incorrectReportRate) {
        const auto timer = std::make_shared<asio::steady_timer>(
            context, Duration{std::llround(4e5 + 1.5e6 * randomFraction())});
        timer->async_wait([this, timer, id = record.requestId, gateway = call.gateway,
                           clientsAlive = std::weak_ptr(alive)](asio::error_code) {
            if (clientsAlive.expired())
                return;
            http::RequestHead head;
            head.method = "POST", head.target = "/v1/wrong-answers";
            http::Fetch::start(context, gateways[std::size_t(gateway)].api, head,
                               nlohmann::json{{"req", id}}.dump(), std::chrono::seconds(1),
                               nullptr);
        });
    }
    const bool completed = record.end == ClientEnd::completed;
    // Whether a retry is safe, by the idempotency of the route or by the outcome.
    const bool retryIsSafe = rule.idempotency == Idempotency::idempotent ||
                             record.end == ClientEnd::shed || record.end == ClientEnd::unreached ||
                             (rule.idempotency == Idempotency::withKey &&
                              now + retryDelay <= request->startedAt + rule.deduplicationWindow);
    if (completed || !retryIsSafe || request->attempts >= request->maxAttempts ||
        now + retryDelay >= request->givesUp)
        return recordOutcome(*request, record.end, wrong, now);
    const bool retryStorm = request->maxAttempts > 1 + scenario.maxRetries;
    const int avoidedGateway =
        record.end == ClientEnd::unreached && gateways.size() > 1 ? call.gateway : -1;
    ++pendingRetries;
    const auto timer =
        std::make_shared<asio::steady_timer>(context, retryStorm ? Duration{0} : retryDelay);
    timer->async_wait([this, timer, request, avoidedGateway,
                       clientsAlive = std::weak_ptr(alive)](asio::error_code) {
        if (clientsAlive.expired())
            return;
        --pendingRetries;
        sendAttempt(request, avoidedGateway);
    });
}

void Clients::recordOutcome(const Request &request, ClientEnd end, bool wrong, Duration endedAt) {
    auto &outcome = outcomes[std::size_t(request.route)];
    const auto &route = environment.scenario.routes[std::size_t(request.route)];
    const bool inTime =
        end == ClientEnd::completed && endedAt <= request.startedAt + route.rule.latencyObjective;
    if (wrong)
        outcome.wrong += 1;
    else if (inTime)
        outcome.inTime += 1;
    else if (end == ClientEnd::completed)
        outcome.late += 1;
    else if (end == ClientEnd::shed)
        outcome.shed += 1;
    else if (end == ClientEnd::errored)
        outcome.errored += 1;
    else
        outcome.unanswered += 1;
    auto &second =
        seconds[std::min(seconds.size() - 1,
                         std::size_t((request.startedAt - startedAt) / std::chrono::seconds(1)))];
    second.asked += route.benefit, second.inTime += inTime && !wrong ? route.benefit : 0;
}

}  // namespace deckcart::fakes
