#include "query_schedule.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "../base/back_off.hpp"

namespace deckcart::dns {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A name server at the same site answers within a few ms, a recursive one within some hundreds of
// ms. The timeout doubles with each round of all servers. With three servers that is 5 s in all,
// well within a usual lifetime.
constexpr Duration kInitialUdpTimeout = milliseconds(400);
constexpr std::size_t kMaxAttempts = 9;
constexpr std::size_t kMaxRounds = 2;
// Longer than for UDP: TCP has to connect first, and a long reply arrives in several segments.
constexpr Duration kTcpTimeout = seconds(2);
// Random addition to each timeout, as a fraction of it, so that questions sent together are not
// retried together.
constexpr double kMaxTimeoutJitter = 0.25;
// A server that failed is backed off for 1 s, doubling to one minute, so that questions don't wait
// for the timeout of a dead server. Harm: if all servers are backed off, none would be asked; so
// the one that failed longest ago is asked first in that case.
constexpr Duration kInitialServerBackoff = seconds(1);
constexpr Duration kMaxServerBackoff = seconds(60);
constexpr int kMaxDoublings = 6;
// A faster server is moved to the front only if it is more than twice as fast as the first one.
// Otherwise the operator's order applies, so that a short delay does not make all gateways switch
// servers.
constexpr int kMuchFasterFactor = 2;
// A first server with a round trip within this keeps its place however fast the others are.
constexpr Duration kFastRoundTrip = milliseconds(20);

// A name is looked up again after 70 to 90 % of its lifetime. The range spreads the load of several
// gateways; the last tenth leaves time for two more attempts before the endpoint list is
// stale.
constexpr double kMinRefreshFraction = 0.7;
constexpr double kMaxRefreshFraction = 0.9;
// After failures: 1 s, doubling to 30 s, of which a random half to whole is used ("full
// jitter" would let some gateways retry at once). With this maximum, the endpoint list is updated
// within half a minute after the servers recover.
constexpr Duration kInitialRefreshBackoff = seconds(1);
constexpr Duration kMaxRefreshBackoff = seconds(30);
// Without an endpoint list, requests wait for the first lookup. With a saved list it can be delayed
// further, to spread the load on the name servers.
constexpr Duration kMaxFirstDelay = milliseconds(100);
constexpr Duration kMaxFirstDelayWithList = seconds(3);
// The delay before a confirming lookup is extended by up to a quarter, so that gateways
// don't query at the same time.
constexpr double kMaxConfirmDelayFactor = 1.25;

Duration scaled(Duration length, double factor) {
    return Duration{std::llround(double(length.count()) * factor)};
}

}  // namespace

void ServerRanking::onAnswer(std::size_t server, Duration roundTrip) {
    auto &record = records.at(server);
    auto &smoothed = record.smoothedRoundTrip;
    smoothed = smoothed == Duration{0} ? roundTrip : (smoothed * 7 + roundTrip) / 8;
    record.consecutiveFailures = 0;
    record.backedOffUntil = TimePoint{0};
}

void ServerRanking::onFailure(std::size_t server, TimePoint now) {
    auto &record = records.at(server);
    const int doublings = std::min(record.consecutiveFailures, kMaxDoublings);
    const Duration backoff = std::min(kMaxServerBackoff, kInitialServerBackoff * (1 << doublings));
    ++record.consecutiveFailures;
    record.failedAt = now;
    record.backedOffUntil = now + backoff;
}

std::vector<std::size_t> ServerRanking::order(TimePoint now) const {
    Order servers(records.size());
    std::iota(servers.begin(), servers.end(), std::size_t{0});
    const auto firstBackedOff =
        std::stable_partition(servers.begin(), servers.end(), [&](std::size_t server) {
            return records[server].backedOffUntil <= now;
        });
    std::stable_sort(firstBackedOff, servers.end(), [&](std::size_t one, std::size_t other) {
        return records[one].failedAt < records[other].failedAt;
    });
    promoteMuchFaster(servers, std::size_t(firstBackedOff - servers.begin()));
    return servers;
}

// Moves the fastest available server to the front if it is much faster than the first one; the
// others keep their order.
void ServerRanking::promoteMuchFaster(Order &servers, std::size_t available) const {
    if (available < 2)
        return;
    const auto roundTrip = [&](std::size_t server) {
        const Duration smoothed = records[server].smoothedRoundTrip;
        return smoothed == Duration{0} ? Duration::max() : smoothed;
    };
    const auto end = servers.begin() + std::ptrdiff_t(available);
    const auto fastest =
        std::min_element(servers.begin(), end, [&](std::size_t one, std::size_t other) {
            return roundTrip(one) < roundTrip(other);
        });
    const Duration best = records[*fastest].smoothedRoundTrip;
    const Duration first = records[servers.front()].smoothedRoundTrip;
    if (best > Duration{0} && first > best * kMuchFasterFactor && first > kFastRoundTrip)
        std::rotate(servers.begin(), fastest, fastest + 1);
}

bool isServerFailure(const Message &reply) {
    const auto code = static_cast<ResponseCode>(reply.code);
    return code != ResponseCode::noError && code != ResponseCode::formErr &&
           code != ResponseCode::notImp;
}

QueryAttempts::QueryAttempts(std::vector<std::size_t> servers, std::uint32_t seed)
    : order(std::move(servers)), random(seed) {}

std::optional<QueryAttempt> QueryAttempts::next() {
    if (order.empty() || attempts >= kMaxAttempts || round >= kMaxRounds)
        return std::nullopt;
    ++attempts;
    Duration timeout = overTcp ? kTcpTimeout : kInitialUdpTimeout * (1 << round);
    const double jitter = double(random()) / double(std::minstd_rand::max());
    timeout += Duration{std::int64_t(double(timeout.count()) * kMaxTimeoutJitter * jitter)};
    return QueryAttempt{order[position], overTcp, withEdns, timeout};
}

QueryAttempts::ReplyUse QueryAttempts::onReply(const Message &reply) {
    if (reply.truncated && !overTcp) {  // RFC 7766, 5: retry over TCP
        overTcp = true;
        lastFault = "reply truncated and no reply over TCP";
        return ReplyUse::tryAgain;
    }
    const auto code = static_cast<ResponseCode>(reply.code);
    if (code == ResponseCode::noError || code == ResponseCode::nxDomain)
        return ReplyUse::answer;
    const std::string fault = "reply with response code " + std::to_string(reply.code);
    // A server without EDNS support replies with FORMERR or NOTIMP (RFC 6891, 7): retry once
    // without EDNS.
    if ((code == ResponseCode::formErr || code == ResponseCode::notImp) && withEdns) {
        withEdns = false;
        lastFault = fault;
    } else {
        onFailure(fault);
    }
    return ReplyUse::tryAgain;
}

void QueryAttempts::onFailure(const std::string &why) {
    lastFault = why;
    overTcp = false;
    withEdns = true;
    if (++position == order.size()) {
        position = 0;
        ++round;
    }
}

Duration RefreshSchedule::lifetime(const LookupResult &found) const {
    const bool negative = found.outcome != LookupOutcome::servers;
    const Duration ceiling = negative ? rules.negativeCeiling : rules.ceiling;
    return std::clamp(Duration(seconds(found.ttlSeconds)), rules.floor,
                      std::max(rules.floor, ceiling));
}

double RefreshSchedule::drawBetween(double from, double to) {
    return from + (to - from) * double(random() - 1) / double(std::minstd_rand::max());
}

Duration RefreshSchedule::firstDelay(bool haveList) {
    return scaled(haveList ? kMaxFirstDelayWithList : kMaxFirstDelay, drawBetween(0, 1));
}

Duration RefreshSchedule::delayAfterAnswer(Duration lifetime) {
    consecutiveFailures = 0;
    return scaled(lifetime, drawBetween(kMinRefreshFraction, kMaxRefreshFraction));
}

Duration RefreshSchedule::delayAfterFailure() {
    const int previousFailures = consecutiveFailures++;
    return backoffDelay(kInitialRefreshBackoff, kMaxRefreshBackoff, previousFailures,
                        drawBetween(0.5, 1));
}

Duration RefreshSchedule::confirmationDelay(Duration minDelay) {
    return scaled(minDelay, drawBetween(1, kMaxConfirmDelayFactor));
}

Duration QueryRateLimiter::take(TimePoint now) {
    tokens = std::min(rate, tokens + rate * double((now - lastTake).count()) / 1e6);
    lastTake = now;
    if (tokens >= 1) {
        tokens -= 1;
        return Duration{0};
    }
    return Duration{std::max<std::int64_t>(1, std::llround((1 - tokens) / rate * 1e6))};
}

}  // namespace deckcart::dns
