#include "endpoint.hpp"

#include <cmath>

#include "../base/address.hpp"

namespace deckcart::fakes {

using scenarios::BuildFault;

namespace {

constexpr auto kCanaryTrafficWindow =
    std::chrono::seconds(1);  // sample window of the canary's traffic, for a build that slows all
constexpr double kOverloadSlackRequests =
    5;  // requests; random arrivals this far over the limit do not overload

double headerNumber(const http::Head &head, const char *name) {
    const std::string *text = head.find(name);
    return text ? std::strtod(text->c_str(), nullptr) : 0;
}

void respond(http::Exchange &exchange, int status, std::vector<http::Header> headers,
             std::string_view body) {
    http::ResponseHead head;
    head.status = status, head.headers = std::move(headers);
    exchange.answer(std::move(head), body);
}

}  // namespace

FakeEndpoint::FakeEndpoint(asio::io_context &io, FakeEnvironment &shared, BuildNumber build,
                           int zone, std::uint64_t seed)
    : context(io), environment(shared), buildNumber(build), zoneIndex(zone), rng(seed),
      startTime(shared.clock.now()) {
    http::ListenerLimits limits;
    limits.idleFor = std::chrono::minutes(10);
    listener = std::make_unique<http::Listener>(
        io, *parseAddress("127.0.0.1:0"), limits,
        [this](const std::shared_ptr<http::Exchange> &exchange) { serve(exchange); });
    endpointId = format(listener->address());
}

void FakeEndpoint::shutDown() {
    queue.clear();
    listener.reset();
    *alive = false,
    alive = std::make_shared<bool>(true);  // cancels the callbacks of work in progress
}

void FakeEndpoint::setHanging(bool on) {
    hanging = on;
    startJobs();
}

void FakeEndpoint::pause(Duration length) {
    pausedUntil = environment.clock.now() + length;
    const auto timer = std::make_shared<asio::steady_timer>(context, length);
    timer->async_wait([this, timer, endpointAlive = std::weak_ptr(alive)](asio::error_code) {
        if (!endpointAlive.expired())
            startJobs();
    });
}

void FakeEndpoint::setSlowConnects(bool on) {
    acceptsSlowly = on;
    alternateAccepting();
}
// Accepts connections for 5 ms, then none for 300 ms, again and again.
void FakeEndpoint::alternateAccepting() {
    if (isDown())
        return;
    http::ListenerLimits limits;
    limits.idleFor = std::chrono::minutes(10);
    listener->limit(limits);
    if (!acceptsSlowly)
        return;
    const auto timer = std::make_shared<asio::steady_timer>(context, std::chrono::milliseconds(5));
    timer->async_wait([this, timer, endpointAlive = std::weak_ptr(alive)](asio::error_code) {
        if (endpointAlive.expired() || isDown() || !acceptsSlowly)
            return;
        http::ListenerLimits none;
        none.connections = 0, none.idleFor = std::chrono::minutes(10);
        listener->limit(none);
        timer->expires_after(std::chrono::milliseconds(300));
        timer->async_wait([this, timer, endpointAlive](asio::error_code) {
            if (!endpointAlive.expired() && acceptsSlowly)
                alternateAccepting();
        });
    });
}

double FakeEndpoint::warmUpFraction() const {
    const auto &scenario = environment.scenario;
    const double age = double((environment.clock.now() - startTime).count()) /
                       double(std::max(Duration{1}, scenario.warmUpTime).count());
    return age >= 1 ? 1 : scenario.initialCapacity + (1 - scenario.initialCapacity) * age;
}

// Whether the work received within the overload window exceeds the allowed multiple of the current
// capacity.
bool FakeEndpoint::isOverloadedBy(double workMs) {
    const auto &scenario = environment.scenario;
    const Duration now = environment.clock.now();
    if (now - startTime >= scenario.warmUpTime)
        return false;
    warmUpWork.emplace_back(now, workMs);
    while (warmUpWork.front().first < now - scenario.overloadWindow)
        warmUpWork.pop_front();
    double totalMs = 0;
    for (const auto &[when, ms] : warmUpWork)
        totalMs += ms;
    return totalMs > scenario.overloadMultiple * scenario.cores * warmUpFraction() *
                             milliseconds(scenario.overloadWindow) +
                         kOverloadSlackRequests * workMs;
}

void FakeEndpoint::serve(const std::shared_ptr<http::Exchange> &exchange) {
    if (exchange->head.target.starts_with("/probe"))
        return probe(*exchange);
    Job job{exchange, 0, headerNumber(exchange->head, "X-Work-Ms"), environment.clock.now()};
    const std::string path =
        exchange->head.target.substr(1, exchange->head.target.find('/', 1) - 1);
    job.route = std::max(0, environment.scenario.routeIndex(path));
    const std::string *request = exchange->head.find("X-Request-Id");
    const bool full = int(queue.size()) >= environment.scenario.queueLimit;
    environment.records.instances.push_back(
        {request ? *request : "", endpointId, zoneIndex, 0, buildNumber, job.receivedAt, !full});
    environment.allArrivals.push_back(job.receivedAt);
    if (buildNumber == environment.canaryBuild)
        environment.canaryArrivals.push_back(job.receivedAt);
    if (isOverloadedBy(job.workMs)) {
        environment.records.overloadedEndpoints.push_back(
            {endpointId, job.receivedAt - environment.scenario.overloadWindow, job.receivedAt});
        // Posted, because this call comes from the listener that shutDown() destroys.
        asio::post(context, [this, endpointAlive = std::weak_ptr(alive)] {
            if (endpointAlive.expired())
                return;
            shutDown();
            if (onOverload)
                onOverload(*this);
        });
        return;
    }
    if (full)
        return respond(*exchange, 503, {{"X-Instance-Full", "1"}}, "full\n");
    queue.push_back(std::move(job));
    startJobs();
}

void FakeEndpoint::probe(http::Exchange &exchange) {
    if (hanging)
        return;
    if (probesFail)
        return respond(exchange, 500, {}, "");
    const double inFlight = double(busyCores) + double(queue.size());
    respond(exchange, 200,
            {{"X-Load", std::to_string(meanLatencyMs) + "," +
                            std::to_string(underreportsLoad ? inFlight / 4 : inFlight)}},
            "");
}

double FakeEndpoint::buildSlowdown() {
    if (buildNumber != environment.canaryBuild)
        return 1;
    const auto &fault = environment.scenario.buildFault;
    if (fault.kind == BuildFault::slow)
        return fault.factor;
    if (fault.kind == BuildFault::slowWhenBusy && busyCores >= environment.scenario.cores)
        return fault.factor;
    return 1;
}

void FakeEndpoint::startJobs() {
    const Duration now = environment.clock.now();
    while (!hanging && !isDown() && now >= pausedUntil && busyCores < environment.scenario.cores &&
           !queue.empty()) {
        Job job = std::move(queue.front());
        queue.pop_front();
        if (!job.exchange->open())
            continue;  // cancelled while it was queued
        double factor = slowdown * environment.fleetSlowdown * buildSlowdown() / warmUpFraction();
        if (environment.scenario.buildFault.kind == BuildFault::slowsAllBuilds) {
            for (auto *arrivals : {&environment.canaryArrivals, &environment.allArrivals})
                while (!arrivals->empty() && arrivals->front() < now - kCanaryTrafficWindow)
                    arrivals->pop_front();
            factor *= 1 + (environment.scenario.buildFault.factor - 1) *
                              double(environment.canaryArrivals.size()) /
                              std::max(1.0, double(environment.allArrivals.size()));
        }
        // Endpoints share the deduplication: the window starts when the first of them starts to
        // process the request.
        const auto &rule = environment.scenario.routes[std::size_t(job.route)].rule;
        if (const std::string *key = job.exchange->head.find("Idempotency-Key");
            key && rule.idempotency == Idempotency::withKey) {
            const auto seen = environment.keyFirstSeen.find(*key);
            job.duplicate = seen != environment.keyFirstSeen.end() &&
                            now - seen->second <= rule.deduplicationWindow;
            if (!job.duplicate)
                environment.keyFirstSeen[*key] = now;
        }
        ++busyCores;
        const auto timer = std::make_shared<asio::steady_timer>(
            context, Duration{std::llround(job.workMs * factor * 1000)});
        timer->async_wait([this, job = std::move(job), timer,
                           endpointAlive = std::weak_ptr(alive)](asio::error_code) {
            if (endpointAlive.expired())
                return;
            --busyCores;
            finishJob(job);
            startJobs();
        });
    }
}

bool FakeEndpoint::drawFault(const Job &job, BuildFault kind) {
    const auto &fault = environment.scenario.buildFault;
    if (buildNumber != environment.canaryBuild || fault.kind != kind ||
        (fault.route >= 0 && fault.route != job.route))
        return false;
    return std::generate_canonical<double, 32>(rng) < fault.fraction;
}

void FakeEndpoint::finishJob(const Job &job) {
    const auto &head = job.exchange->head;
    const auto &route = environment.scenario.routes[std::size_t(job.route)];
    const Duration now = environment.clock.now();
    meanLatencyMs += 0.1 * (milliseconds(now - job.receivedAt) - meanLatencyMs);
    const bool faultActive = now - startTime >= environment.scenario.buildFault.faultFreeTime;
    const bool fails = drawFault(job, BuildFault::fails) ||
                       (faultActive && drawFault(job, BuildFault::failsLater)) ||
                       (int(queue.size()) >= environment.scenario.cores &&
                        drawFault(job, BuildFault::slowWhenBusy));
    const std::string *key = head.find("Idempotency-Key");
    if (key && !job.duplicate && route.rule.idempotency != Idempotency::idempotent) {
        if (!fails)
            ++environment.effectCounts[*key];
        else
            environment.keyFirstSeen.erase(
                *key);  // it had no effect, so a retry is not a duplicate
    }
    if (environment.scenario.usageReports)
        environment.finished.push_back({buildNumber, job.route, fails});
    if (std::generate_canonical<double, 32>(rng) < responseLossRate)
        return job.exchange->abort();
    std::vector<http::Header> headers{{"X-Build", std::to_string(buildNumber)}};
    if (fails)
        return respond(*job.exchange, 500, std::move(headers), "failed\n");
    if (drawFault(job, BuildFault::incorrectResponses))
        headers.emplace_back("X-Wrong", "1");
    respond(*job.exchange, 200, std::move(headers), "done\n");
}

}  // namespace deckcart::fakes
