#include "endpoint.hpp"

#include <cmath>

#include "../base/address.hpp"

namespace deckcart::fakes {

using scenarios::BuildFault;

namespace {

constexpr auto kCountedFor =
    std::chrono::seconds(1);      // of the trial's traffic, for a build that slows all
constexpr double kPushSlack = 5;  // requests' worth of chance that no cold instance falls over by

double textNumber(const http::Head &head, const char *name) {
    const std::string *text = head.find(name);
    return text ? std::strtod(text->c_str(), nullptr) : 0;
}

void answer(http::Exchange &to, int status, std::vector<http::Header> headers,
            std::string_view body) {
    http::ResponseHead head;
    head.status = status, head.headers = std::move(headers);
    to.answer(std::move(head), body);
}

}  // namespace

FakeEndpoint::FakeEndpoint(asio::io_context &io, FakeEnvironment &in, BuildNumber build, int zone,
                           std::uint64_t seed)
    : context(io), world(in), runs(build), where(zone), chance(seed), started(in.clock.now()) {
    http::ListenerLimits limits;
    limits.idleFor = std::chrono::minutes(10);
    listener = std::make_unique<http::Listener>(
        io, *parseAddress("127.0.0.1:0"), limits,
        [this](const std::shared_ptr<http::Exchange> &exchange) { serve(exchange); });
    name = format(listener->address());
}

void FakeEndpoint::die() {
    waiting.clear();
    listener.reset();
    *alive = false, alive = std::make_shared<bool>(true);  // work under way ends nowhere
}

void FakeEndpoint::hang(bool on) {
    hung = on;
    begin();
}

void FakeEndpoint::pause(Duration lasts) {
    pausedUntil = world.clock.now() + lasts;
    const auto timer = std::make_shared<asio::steady_timer>(context, lasts);
    timer->async_wait([this, timer, here = std::weak_ptr(alive)](asio::error_code) {
        if (!here.expired())
            begin();
    });
}

void FakeEndpoint::slowConnects(bool on) {
    connectsSlow = on;
    blinkConnects();
}
// Takes new connections only now and then.
void FakeEndpoint::blinkConnects() {
    if (down())
        return;
    http::ListenerLimits limits;
    limits.idleFor = std::chrono::minutes(10);
    listener->limit(limits);
    if (!connectsSlow)
        return;
    const auto timer = std::make_shared<asio::steady_timer>(context, std::chrono::milliseconds(5));
    timer->async_wait([this, timer, here = std::weak_ptr(alive)](asio::error_code) {
        if (here.expired() || down() || !connectsSlow)
            return;
        http::ListenerLimits none;
        none.connections = 0, none.idleFor = std::chrono::minutes(10);
        listener->limit(none);
        timer->expires_after(std::chrono::milliseconds(300));
        timer->async_wait([this, timer, here](asio::error_code) {
            if (!here.expired() && connectsSlow)
                blinkConnects();
        });
    });
}

double FakeEndpoint::warmth() const {
    const auto &d = world.day;
    const double age = double((world.clock.now() - started).count()) /
                       double(std::max(Duration{1}, d.warmUpTime).count());
    return age >= 1 ? 1 : d.initialCapacity + (1 - d.initialCapacity) * age;
}

// More than the stated multiple of what it can do now, over the stated time.
bool FakeEndpoint::pushedOver(double workMs) {
    const auto &d = world.day;
    const Duration now = world.clock.now();
    if (now - started >= d.warmUpTime)
        return false;
    sentCold.emplace_back(now, workMs);
    while (sentCold.front().first < now - d.overloadWindow)
        sentCold.pop_front();
    double sum = 0;
    for (const auto &[when, ms] : sentCold)
        sum += ms;
    return sum > d.overloadMultiple * d.cores * warmth() * milliseconds(d.overloadWindow) +
                     kPushSlack * workMs;
}

void FakeEndpoint::serve(const std::shared_ptr<http::Exchange> &exchange) {
    if (exchange->head.target.starts_with("/probe"))
        return probe(*exchange);
    Job job{exchange, 0, textNumber(exchange->head, "X-Work-Ms"), world.clock.now()};
    const std::string path =
        exchange->head.target.substr(1, exchange->head.target.find('/', 1) - 1);
    job.route = std::max(0, world.day.routeNo(path));
    const std::string *request = exchange->head.find("X-Request-Id");
    const bool full = int(waiting.size()) >= world.day.queue;
    world.records.instances.push_back(
        {request ? *request : "", name, where, 0, runs, job.came, !full});
    world.allWork.push_back(job.came);
    if (runs == world.trial)
        world.trialWork.push_back(job.came);
    if (pushedOver(job.workMs)) {
        world.records.overloadedEndpoints.push_back(
            {name, job.came - world.day.overloadWindow, job.came});
        // On a turn of its own: this call comes from its own listener.
        asio::post(context, [this, here = std::weak_ptr(alive)] {
            if (here.expired())
                return;
            die();
            if (onFell)
                onFell(*this);
        });
        return;
    }
    if (full)
        return answer(*exchange, 503, {{"X-Instance-Full", "1"}}, "full\n");
    waiting.push_back(std::move(job));
    begin();
}

void FakeEndpoint::probe(http::Exchange &exchange) {
    if (hung)
        return;
    if (probesFail)
        return answer(exchange, 500, {}, "");
    const double inHand = double(busy) + double(waiting.size());
    answer(exchange, 200,
           {{"X-Load",
             std::to_string(meanMs) + "," + std::to_string(lowReports ? inHand / 4 : inHand)}},
           "");
}

double FakeEndpoint::buildTimes() {
    if (runs != world.trial)
        return 1;
    const auto &bad = world.day.bad;
    if (bad.kind == BuildFault::slow)
        return bad.times;
    if (bad.kind == BuildFault::busy && busy >= world.day.cores)
        return bad.times;
    return 1;
}

void FakeEndpoint::begin() {
    const Duration now = world.clock.now();
    while (!hung && !down() && now >= pausedUntil && busy < world.day.cores && !waiting.empty()) {
        Job job = std::move(waiting.front());
        waiting.pop_front();
        if (!job.exchange->open())
            continue;  // cancelled while it waited
        double times = slow * world.fleetSlow * buildTimes() / warmth();
        if (world.day.bad.kind == BuildFault::slowsAll) {
            for (auto *queue : {&world.trialWork, &world.allWork})
                while (!queue->empty() && queue->front() < now - kCountedFor)
                    queue->pop_front();
            times *= 1 + (world.day.bad.times - 1) * double(world.trialWork.size()) /
                             std::max(1.0, double(world.allWork.size()));
        }
        // All instances drop a repeat within the window, from when the first of them takes it up.
        const auto &rule = world.day.routes[std::size_t(job.route)].rule;
        if (const std::string *mark = job.exchange->head.find("Idempotency-Key");
            mark && rule.idempotency == Idempotency::withKey) {
            const auto seen = world.marks.find(*mark);
            job.repeat =
                seen != world.marks.end() && now - seen->second <= rule.deduplicationWindow;
            if (!job.repeat)
                world.marks[*mark] = now;
        }
        ++busy;
        const auto timer = std::make_shared<asio::steady_timer>(
            context, Duration{std::llround(job.workMs * times * 1000)});
        timer->async_wait(
            [this, job = std::move(job), timer, here = std::weak_ptr(alive)](asio::error_code) {
                if (here.expired())
                    return;
                --busy;
                finish(job);
                begin();
            });
    }
}

bool FakeEndpoint::faulty(const Job &job, BuildFault kind) {
    const auto &bad = world.day.bad;
    if (runs != world.trial || bad.kind != kind || (bad.route >= 0 && bad.route != job.route))
        return false;
    return std::generate_canonical<double, 32>(chance) < bad.part;
}

void FakeEndpoint::finish(const Job &job) {
    const auto &head = job.exchange->head;
    const auto &route = world.day.routes[std::size_t(job.route)];
    const Duration now = world.clock.now();
    meanMs += 0.1 * (milliseconds(now - job.came) - meanMs);
    const bool old = now - started >= world.day.bad.after;
    const bool fails = faulty(job, BuildFault::fails) || (old && faulty(job, BuildFault::later)) ||
                       (int(waiting.size()) >= world.day.cores && faulty(job, BuildFault::busy));
    const std::string *mark = head.find("Idempotency-Key");
    if (mark && !job.repeat && route.rule.idempotency != Idempotency::idempotent) {
        if (!fails)
            ++world.effects[*mark];
        else
            world.marks.erase(*mark);  // nothing was done: a repeat is none
    }
    if (world.day.tallies)
        world.finished.push_back({runs, job.route, fails});
    if (std::generate_canonical<double, 32>(chance) < answersLost)
        return job.exchange->abort();
    std::vector<http::Header> headers{{"X-Build", std::to_string(runs)}};
    if (fails)
        return answer(*job.exchange, 500, std::move(headers), "failed\n");
    if (faulty(job, BuildFault::wrong))
        headers.emplace_back("X-Wrong", "1");
    answer(*job.exchange, 200, std::move(headers), "done\n");
}

}  // namespace deckcart::fakes
