// What the module holds once all requests are over must be what it held before them, however many
// have come: the bytes on the heap are counted beside an hour of traffic. One argument names what
// comes: requests, keys, or endpoints.
#include <cstdlib>
#include <deckcart/policy.hpp>
#include <iostream>
#include <new>

static std::size_t live = 0;  // bytes; glibc tells the size of a block
// Named by glibc. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" std::size_t malloc_usable_size(void *) noexcept;
void *operator new(std::size_t n) {
    void *at = std::malloc(n);
    if (!at)
        throw std::bad_alloc();
    live += malloc_usable_size(at);
    return at;
}
void operator delete(void *at) noexcept {
    if (at)
        live -= malloc_usable_size(at);
    std::free(at);
}
void operator delete(void *at, std::size_t) noexcept {
    operator delete(at);
}

using namespace deckcart;
using namespace std::chrono_literals;

int main(int argc, char **argv) {
    const std::string what = argc > 1 ? argv[1] : "";
    Policy policy;
    Duration now = 100s;
    PolicySettings v;
    v.routes = {{800ms, Idempotency::idempotent, DeduplicationScope::all, 5s}};
    v.tenantQuotas = {1}, v.stickyKeys = true, v.exposureWindow = 4s, v.exposureLimits = {0.2},
    v.stageShares = {0.1};
    v.voteLifetime = 6s, v.overloadWindow = 3s, v.warmUpTime = 4s,
    v.gateways = what == "many" ? 99 : 3;
    const auto give = [&](const Event &e) { return policy.decide(1, now, {e}); };
    give(PolicyStarted{v});
    const auto list = [&](int n) {
        EndpointListUpdate told{true, {}};
        for (int k = 0; k < 4; ++k)
            told.entries.push_back(
                {"s" + std::to_string(n * 4 + k), 0, 0, 2, EndpointState::active, 1, {}});
        give(told);
    };
    list(0);
    give(RolloutUpdate{false, Outcome::ok, 2, 0, RolloutPhase::released, 1, 60s});
    std::size_t before = 0;
    constexpr int kMinutes = 60, kASecond = 20;
    for (int second = 0; second < 60 * kMinutes; ++second) {
        if (second % 60 == 0 && what == "servers")
            list(second / 60);
        if (second == 600)
            before = live;
        for (int k = 0; k < kASecond; ++k, now += Duration{1000000 / kASecond}) {
            const RequestId id = RequestId(second) * kASecond + RequestId(k);
            std::vector<Action> first = give(RequestArrived{
                id, what == "keys" ? "k" + std::to_string(id) : "k", 0, 0, now + 3s});
            for (const auto &a : first)
                if (std::holds_alternative<SendAttempt>(a))
                    give(AttemptEnded{id, 0, true, Outcome::ok});
            give(TimerFired{});
        }
    }
    now += 20s;
    give(TimerFired{});
    const auto grown = live > before ? live - before : 0;
    std::cout << what << ": " << before << " bytes after ten minutes, " << grown
              << " more after the hour\n";
    return grown < 4 * 1024 ? 0 : 1;
}
