#include "query_schedule.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "../base/back_off.hpp"

namespace deckcart::dns {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A name server of a site answers in a few ms, a recursive one in some hundreds. Each lap round the
// servers waits twice as long; with three servers that is 5 s in all, well within a usual lifetime.
constexpr Duration kFirstWait = milliseconds(400);
constexpr std::size_t kMostAttempts = 9;
constexpr std::size_t kLaps = 2;
// TCP needs a connection first, and the long reply comes in several segments.
constexpr Duration kTcpWait = seconds(2);
// Drawn on top of each wait, so that questions sent together are not repeated together.
constexpr double kWaitSpread = 0.25;
// A server that failed is backed off, 1 s doubling to a minute, so that a dead one does not cost
// each question its wait. It could harm when all are dead: then the one that failed longest ago is
// asked all the same.
constexpr Duration kServerBackoffFirst = seconds(1);
constexpr Duration kServerBackoffMost = seconds(60);
constexpr int kMostDoublings = 6;
// Faster ones go first only if twice as fast: below that the operator's order stands, so that
// gateways do not all change over at a hiccup.
constexpr int kMuchFaster = 2;
// A first server within this is fast enough whatever the others do.
constexpr Duration kFastEnough = milliseconds(20);

// Asked again after 70 to 90 % of the lifetime: the spread parts the gateways, the tenth that is
// left is enough for two more attempts before the view is stale.
constexpr double kAheadFrom = 0.7;
constexpr double kAheadTo = 0.9;
// After failures: 1 s doubling to 30 s, drawn between half and the whole ("full jitter" would let a
// few ask at once). The bound keeps the view no more than half a minute behind servers that come
// back.
constexpr Duration kRefreshBackoffFirst = seconds(1);
constexpr Duration kRefreshBackoffMost = seconds(30);
// A start without a view has requests waiting for it; one with a saved view can leave the servers
// their time.
constexpr Duration kStartSpread = milliseconds(100);
constexpr Duration kStartSpreadWithView = seconds(3);
// A confirmation may come later than wanted by up to a quarter, so that gateways don't ask in step.
constexpr double kConfirmSpread = 1.25;

Duration scaled(Duration length, double factor) {
    return Duration{std::llround(double(length.count()) * factor)};
}

}  // namespace

void ServerRanking::onAnswer(std::size_t server, Duration roundTrip) {
    auto &record = records.at(server);
    auto &smoothed = record.smoothedRoundTrip;
    smoothed = smoothed == Duration{0} ? roundTrip : (smoothed * 7 + roundTrip) / 8;
    record.failuresInRow = 0;
    record.backedOffUntil = TimePoint{0};
}

void ServerRanking::onFailure(std::size_t server, TimePoint now) {
    auto &record = records.at(server);
    const int doublings = std::min(record.failuresInRow, kMostDoublings);
    const Duration backoff = std::min(kServerBackoffMost, kServerBackoffFirst * (1 << doublings));
    ++record.failuresInRow;
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
    moveMuchFasterFirst(servers, std::size_t(firstBackedOff - servers.begin()));
    return servers;
}

// One that is much faster than the first comes before it; the others keep their order.
void ServerRanking::moveMuchFasterFirst(Order &servers, std::size_t available) const {
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
    if (best > Duration{0} && first > best * kMuchFaster && first > kFastEnough)
        std::rotate(servers.begin(), fastest, fastest + 1);
}

bool isServerFailure(const Message &reply) {
    const auto code = static_cast<Code>(reply.code);
    return code != Code::noError && code != Code::formErr && code != Code::notImp;
}

QueryAttempts::QueryAttempts(std::vector<std::size_t> servers, std::uint32_t seed)
    : order(std::move(servers)), chance(seed) {}

std::optional<QueryAttempt> QueryAttempts::next() {
    if (order.empty() || attempts >= kMostAttempts || lap >= kLaps)
        return std::nullopt;
    ++attempts;
    Duration timeout = overTcp ? kTcpWait : kFirstWait * (1 << lap);
    const double drawn = double(chance()) / double(std::minstd_rand::max());
    timeout += Duration{std::int64_t(double(timeout.count()) * kWaitSpread * drawn)};
    return QueryAttempt{order[position], overTcp, withEdns, timeout};
}

QueryAttempts::ReplyUse QueryAttempts::onReply(const Message &reply) {
    if (reply.truncated && !overTcp) {  // RFC 7766, 5: the whole is to be had over TCP
        overTcp = true;
        lastFault = "the reply is cut and the server takes no TCP";
        return ReplyUse::tryAgain;
    }
    const auto code = static_cast<Code>(reply.code);
    if (code == Code::noError || code == Code::nxDomain)
        return ReplyUse::answer;
    const std::string fault = "a reply with code " + std::to_string(reply.code);
    // A server that does not know EDNS says so by FORMERR or NOTIMP (RFC 6891, 7): asked once more
    // without.
    if ((code == Code::formErr || code == Code::notImp) && withEdns) {
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
        ++lap;
    }
}

Duration Refresh::lifetime(const Found &found) const {
    const bool negative = found.kind != LookupOutcome::servers;
    const Duration ceiling = negative ? rules.negativeCeiling : rules.ceiling;
    return std::clamp(Duration(seconds(found.seconds)), rules.floor,
                      std::max(rules.floor, ceiling));
}

double Refresh::drawBetween(double from, double to) {
    return from + (to - from) * double(chance() - 1) / double(std::minstd_rand::max());
}

Duration Refresh::first(bool haveView) {
    return scaled(haveView ? kStartSpreadWithView : kStartSpread, drawBetween(0, 1));
}

Duration Refresh::afterAnswer(Duration lifetime) {
    failures = 0;
    return scaled(lifetime, drawBetween(kAheadFrom, kAheadTo));
}

Duration Refresh::afterFailure() {
    const int before = failures++;
    return backedOff(kRefreshBackoffFirst, kRefreshBackoffMost, before, drawBetween(0.5, 1));
}

Duration Refresh::sooner(Duration wanted) {
    return scaled(wanted, drawBetween(1, kConfirmSpread));
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
