// Guards against memory leaks of the policy: state kept per request, session key or endpoint that
// is never released would grow the heap for as long as a gateway runs. Counts the bytes on the heap
// during an hour of simulated traffic; once all requests have ended, they may exceed those after
// ten minutes by less than 4 KiB. The argument selects the variant:
//   reqs     requests with one session key
//   many     the same as one of many gateways
//   keys     a new session key for each request
//   servers  an endpoint list with new endpoints every minute
//   flood    ten seconds of 100,000 requests a second that end without an attempt, at one of many
//            gateways; all the time, the heap may exceed that of before by less than 2 MiB, a
//            sixteenth of the smallest memory of a gateway on the platform
#include <algorithm>
#include <cstdlib>
#include <deckcart/policy.hpp>
#include <iostream>
#include <new>

static std::size_t liveBytes = 0;  // on the heap, by the block sizes that glibc reports
// The name is defined by glibc. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" std::size_t malloc_usable_size(void *) noexcept;
void *operator new(std::size_t size) {
    void *block = std::malloc(size);
    if (!block)
        throw std::bad_alloc();
    liveBytes += malloc_usable_size(block);
    return block;
}
void operator delete(void *block) noexcept {
    if (block)
        liveBytes -= malloc_usable_size(block);
    std::free(block);
}
void operator delete(void *block, std::size_t) noexcept {
    operator delete(block);
}

using namespace deckcart;
using namespace std::chrono_literals;

// Guards against a gateway killed for memory: the windows of received and finished requests held an
// entry for each request, shed ones included, however many came.
static int runFlood() {
    Policy policy;
    Duration now = 100s;
    PolicySettings settings;
    settings.routes = {{800ms, Idempotency::idempotent, DeduplicationScope::all, 5s}};
    settings.tenantQuotas = {0.5, 0.5};
    settings.exposureWindow = 6s;
    settings.overloadWindow = 3s;
    settings.gateways = 99;
    const auto decide = [&](const Event &event) { (void)policy.decide(1, now, {event}); };
    decide(PolicyStarted{settings});
    const std::size_t bytesBefore = liveBytes;
    std::size_t mostBytes = liveBytes;
    constexpr int kRequests = 1'000'000;
    constexpr int kRequestsPerTimer = 2000;
    for (RequestId id = 0; id < kRequests; ++id, now += Duration{10}) {
        decide(RequestArrived{id, "k", 0, int(id % 3), now + 3s});
        decide(RequestAbandoned{id});
        if (id % kRequestsPerTimer == 0)
            decide(TimerFired{});
        mostBytes = std::max(mostBytes, liveBytes);
    }
    constexpr std::size_t kMaxGrowthBytes = 2 * 1024 * 1024;
    const std::size_t growthBytes = mostBytes - bytesBefore;
    std::cout << "flood: " << growthBytes << " bytes more on the heap at most (expected less than "
              << kMaxGrowthBytes << ")\n";
    return growthBytes < kMaxGrowthBytes ? 0 : 1;
}

// An hour of simulated traffic; `variant` is reqs, many, keys or servers.
static int runHour(const std::string &variant) {
    Policy policy;
    Duration now = 100s;
    PolicySettings settings;
    settings.routes = {{800ms, Idempotency::idempotent, DeduplicationScope::all, 5s}};
    settings.tenantQuotas = {1}, settings.stickyKeys = true, settings.exposureWindow = 4s,
    settings.exposureLimits = {0.2}, settings.stageShares = {0.1};
    settings.voteLifetime = 6s, settings.overloadWindow = 3s, settings.warmUpTime = 4s,
    settings.gateways = variant == "many" ? 99 : 3;
    const auto decide = [&](const Event &event) { return policy.decide(1, now, {event}); };
    decide(PolicyStarted{settings});
    const auto deliverList = [&](int generation) {
        EndpointListUpdate update{true, {}};
        for (int i = 0; i < 4; ++i)
            update.entries.push_back(
                {"s" + std::to_string(generation * 4 + i), 0, 0, 2, EndpointState::active, 1, {}});
        decide(update);
    };
    deliverList(0);
    decide(RolloutUpdate{false, Outcome::ok, 2, 0, RolloutPhase::released, 1, 60s});
    std::size_t bytesBefore = 0;
    constexpr int kMinutes = 60, kRequestsPerSecond = 20;
    for (int second = 0; second < 60 * kMinutes; ++second) {
        if (second % 60 == 0 && variant == "servers")
            deliverList(second / 60);
        if (second == 600)
            bytesBefore = liveBytes;
        for (int i = 0; i < kRequestsPerSecond;
             ++i, now += Duration{1000000 / kRequestsPerSecond}) {
            const RequestId id = RequestId(second) * kRequestsPerSecond + RequestId(i);
            std::vector<Action> actions = decide(RequestArrived{
                id, variant == "keys" ? "k" + std::to_string(id) : "k", 0, 0, now + 3s});
            for (const auto &action : actions)
                if (std::holds_alternative<SendAttempt>(action))
                    decide(AttemptEnded{id, 0, true, Outcome::ok});
            decide(TimerFired{});
        }
    }
    now += 20s;
    decide(TimerFired{});
    const auto growthBytes = liveBytes > bytesBefore ? liveBytes - bytesBefore : 0;
    std::cout << variant << ": " << bytesBefore << " bytes on the heap after ten minutes, "
              << growthBytes << " bytes more after an hour (expected less than 4096)\n";
    return growthBytes < 4 * 1024 ? 0 : 1;
}

int main(int argc, char **argv) {
    const std::string variant = argc > 1 ? argv[1] : "";
    return variant == "flood" ? runFlood() : runHour(variant);
}
