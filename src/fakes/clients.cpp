#include "clients.hpp"

#include <cmath>

#include "../http/fetch.hpp"

namespace deckcart::fakes {

using scenarios::ClientEnd;
using scenarios::ClientRecord;

constexpr auto kGraceToHear =
    std::chrono::milliseconds(20);  // a client hangs up so long after its time

struct Clients::Request {
    int route = 0, attempts = 0, maxAttempts = 1;
    std::string key, tenant, mark;
    double workMs = 0;
    Duration asked{}, givesUp{};
};

class Clients::Call : public http::CallHandler, public std::enable_shared_from_this<Call> {
  public:
    Call(Clients &of, std::shared_ptr<Request> what)
        : clients(of), request(std::move(what)), timer(of.context) {}
    void onResponseHead(const http::ResponseHead &head) override { answer = head; }
    void onResponseBody(std::string_view) override {}
    void onCallEnd(http::CallEnd outcome) override {
        const auto held = shared_from_this();
        ended = outcome;
        clients.over(*this);
    }

    Clients &clients;
    std::shared_ptr<Request> request;
    std::uint64_t no = 0;
    std::size_t record = 0;
    int gateway = 0;
    bool timedOut = false;
    http::CallEnd ended = http::CallEnd::connectionLost;
    http::ResponseHead answer;
    std::shared_ptr<http::ClientConnection> connection;
    asio::steady_timer timer;
};

Clients::Clients(asio::io_context &io, FakeEnvironment &in, std::vector<Place> to,
                 std::uint64_t seed)
    : service(in.day.routes.size()), context(io), world(in), gateways(std::move(to)), chance(seed),
      next(io), idleTo(gateways.size()) {}

Clients::~Clients() {
    for (auto &[no, call] : calls)
        call->connection->drop();
    for (auto &list : idleTo)
        for (auto &one : list)
            one->onIdleClosed = nullptr, one->drop();
}

void Clients::start(Duration end) {
    begun = nextAt = world.clock.now(), until = end;
    seconds.resize(std::size_t((until - begun) / std::chrono::seconds(1)) + 1);
    arrive();
}

void Clients::arrive() {
    nextAt += Duration{
        std::llround(-std::log(1 - chance01()) / (world.day.requestsPerSecond * burst) * 1e6)};
    if (nextAt >= until)
        return void(ended = true);
    next.expires_after(std::max(Duration{0}, nextAt - world.clock.now()));
    next.async_wait([this, here = std::weak_ptr(alive)](asio::error_code fault) {
        if (fault || here.expired())
            return;
        const auto &d = world.day;
        const auto request = std::make_shared<Request>();
        double sum = 0;
        for (const auto &r : d.routes)
            sum += r.share;
        double at = chance01() * sum;
        while (request->route + 1 < int(d.routes.size()) &&
               at >= d.routes[std::size_t(request->route)].share)
            at -= d.routes[std::size_t(request->route++)].share;
        const auto &r = d.routes[std::size_t(request->route)];
        // A few keys are far more popular than the rest.
        request->key = "k" + std::to_string(int(d.keys * std::pow(chance01(), 3)));
        double who = chance01();
        for (std::size_t k = 0; k < d.tenants.size(); ++k)
            if ((who -= d.tenantQuotas[k]) < 0 || k + 1 == d.tenants.size()) {
                request->tenant = d.tenants[k];
                break;
            }
        request->mark = "m" + std::to_string(++named);
        request->workMs = r.leastWorkMs + (r.mostWorkMs - r.leastWorkMs) * chance01();
        request->asked = world.clock.now(), request->givesUp = request->asked + r.routeTimeout;
        request->maxAttempts = 1 + d.retries;
        const bool heedless =
            heedlessTimes > 1 && !d.tenants.empty() && request->tenant == d.tenants.front();
        if (heedless)
            request->maxAttempts = int(heedlessTimes);
        service[std::size_t(request->route)].asked += 1;
        ask(request);
        arrive();
    });
}

void Clients::ask(const std::shared_ptr<Request> &request, int avoid) {
    const auto &d = world.day;
    const Duration now = world.clock.now();
    double sum = 0;
    for (std::size_t k = 0; k < gateways.size(); ++k)
        sum += int(k) == avoid ? 0 : gateways[k].weight;
    double at = chance01() * sum;
    int gateway = 0;
    for (std::size_t k = 0; k < gateways.size(); ++k) {
        if (int(k) == avoid)
            continue;
        gateway = int(k);
        if ((at -= gateways[k].weight) < 0)
            break;
    }
    const auto call = std::make_shared<Call>(*this, request);
    call->no = ++named, call->gateway = gateway, call->record = world.records.clients.size();
    ++request->attempts;
    const auto &r = d.routes[std::size_t(request->route)];
    const Duration patience = Duration{std::llround(
        double(r.routeTimeout.count()) * (d.leastPatience + (1 - d.leastPatience) * chance01()))};
    ClientRecord record;
    record.requestId = "r" + std::to_string(call->no), record.route = request->route,
    record.gateway = gateway, record.key = request->key;
    record.sent = now, record.givesUp = std::min(now + patience, request->givesUp);
    const Duration left = record.givesUp - now;
    auto &idle = idleTo[std::size_t(gateway)];
    while (!idle.empty() && !idle.back()->reusable())
        idle.pop_back();
    if (idle.empty())
        call->connection = std::make_shared<http::ClientConnection>(context, std::size_t{16384});
    else
        call->connection = idle.back(), idle.pop_back(), call->connection->onIdleClosed = nullptr;
    http::RequestHead head;
    head.method = r.method, head.target = "/" + r.name + "/" + request->key;
    head.headers = {{"Host", "relay"},
                    {"X-Request-Id", record.requestId},
                    {"X-Key", request->key},
                    {"Idempotency-Key", request->mark},
                    {"X-Work-Ms", std::to_string(request->workMs)},
                    {"X-Remaining-Ms", std::to_string(left.count() / 1000)}};
    if (!request->tenant.empty())
        head.headers.emplace_back("X-Account", request->tenant);
    if (request->attempts > 1)
        head.headers.emplace_back("X-Repeat", "1");
    head.length = 5;
    world.records.clients.push_back(std::move(record));
    calls[call->no] = call;
    call->timer.expires_after(left + kGraceToHear);
    call->timer.async_wait(
        [this, weak = std::weak_ptr(call), here = std::weak_ptr(alive)](asio::error_code fault) {
            const auto late = weak.lock();
            if (fault || !late || here.expired() || !calls.contains(late->no))
                return;
            late->timedOut = true;
            late->connection->drop();
            over(*late);
        });
    call->connection->call(gateways[std::size_t(gateway)].listen, left, http::write(head) + "hello",
                           false, call.get());
}

void Clients::over(Call &call) {
    const auto held = call.shared_from_this();
    calls.erase(call.no);
    call.timer.cancel();
    const Duration now = world.clock.now();
    auto &record = world.records.clients[call.record];
    const auto request = call.request;
    const auto *said = call.answer.find("Deckcart-End");
    bool wrong = false;
    Duration back = std::chrono::milliseconds(100);
    if (call.timedOut)
        record.end = ClientEnd::none;
    else if (call.ended == http::CallEnd::complete) {
        record.answers = 1, record.answered = now;
        const std::string end = said ? *said : "";
        record.end = end == "completed" ? ClientEnd::completed
                     : end == "shed"    ? ClientEnd::shed
                                        : ClientEnd::errored;
        if (const auto *build = call.answer.find("X-Build"))
            record.build = std::atoi(build->c_str());
        wrong = call.answer.find("X-Wrong") != nullptr;
        if (const auto *ms = call.answer.find("Deckcart-Retry-Ms"))
            back = std::chrono::milliseconds(std::atoi(ms->c_str()));
        // The connection stays watched: a second answer would come on it.
        call.connection->onIdleClosed = [this, recordIndex = call.record,
                                         weak = std::weak_ptr(call.connection),
                                         here = std::weak_ptr(alive)] {
            const auto one = weak.lock();
            if (here.expired() || !one)
                return;
            if (one->spokeUnasked())
                ++world.records.clients[recordIndex].answers;
        };
        if (call.connection->spokeUnasked())
            ++record.answers;
        if (call.connection->reusable())
            idleTo[std::size_t(call.gateway)].push_back(call.connection);
    } else {
        const bool unread =
            call.ended == http::CallEnd::connectFailed || !call.connection->startedSending();
        record.end = unread ? ClientEnd::unreached : ClientEnd::cut;
    }
    const auto &d = world.day;
    const auto &rule = d.routes[std::size_t(request->route)].rule;
    if (wrong && d.incorrectReportRate > 0 && chance01() < d.incorrectReportRate) {
        const auto timer = std::make_shared<asio::steady_timer>(
            context, Duration{std::llround(4e5 + 1.5e6 * chance01())});
        timer->async_wait([this, timer, id = record.requestId, gateway = call.gateway,
                           here = std::weak_ptr(alive)](asio::error_code) {
            if (here.expired())
                return;
            http::RequestHead head;
            head.method = "POST", head.target = "/v1/wrong-answers";
            http::Fetch::start(context, gateways[std::size_t(gateway)].api, head,
                               nlohmann::json{{"req", id}}.dump(), std::chrono::seconds(1),
                               nullptr);
        });
    }
    const bool done = record.end == ClientEnd::completed;
    // May it be asked again: safe by its route, or by what the answer says.
    const bool safe = rule.idempotency == Idempotency::idempotent ||
                      record.end == ClientEnd::shed || record.end == ClientEnd::unreached ||
                      (rule.idempotency == Idempotency::withKey &&
                       now + back <= request->asked + rule.deduplicationWindow);
    if (done || !safe || request->attempts >= request->maxAttempts ||
        now + back >= request->givesUp)
        return settle(*request, record.end, wrong, now);
    const bool heedless = request->maxAttempts > 1 + d.retries;
    const int avoid = record.end == ClientEnd::unreached && gateways.size() > 1 ? call.gateway : -1;
    ++waiting;
    const auto timer = std::make_shared<asio::steady_timer>(context, heedless ? Duration{0} : back);
    timer->async_wait([this, timer, request, avoid, here = std::weak_ptr(alive)](asio::error_code) {
        if (here.expired())
            return;
        --waiting;
        ask(request, avoid);
    });
}

void Clients::settle(const Request &request, ClientEnd end, bool wrong, Duration at) {
    auto &s = service[std::size_t(request.route)];
    const auto &r = world.day.routes[std::size_t(request.route)];
    const bool inTime =
        end == ClientEnd::completed && at <= request.asked + r.rule.latencyObjective;
    if (wrong)
        s.wrong += 1;
    else if (inTime)
        s.inTime += 1;
    else if (end == ClientEnd::completed)
        s.late += 1;
    else if (end == ClientEnd::shed)
        s.shed += 1;
    else if (end == ClientEnd::errored)
        s.errored += 1;
    else
        s.none += 1;
    auto &second = seconds[std::min(
        seconds.size() - 1, std::size_t((request.asked - begun) / std::chrono::seconds(1)))];
    second.asked += r.benefit, second.inTime += inTime && !wrong ? r.benefit : 0;
}

}  // namespace deckcart::fakes
