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
// A server that failed is left alone, 1 s doubling to a minute, so that a dead one does not cost
// each question its wait. It could harm when all are dead: then the one that failed longest ago is
// asked all the same.
constexpr Duration kAloneFirst = seconds(1), kAloneMost = seconds(60);
// Faster ones go first only if twice as fast: below that the operator's order stands, so that
// gateways do not all change over at a hiccup.
constexpr int kMuchFaster = 2;

// Asked again after 70 to 90 % of the lifetime: the spread parts the gateways, the tenth that is
// left is enough for two more attempts before the view is stale.
constexpr double kAheadFrom = 0.7, kAheadTo = 0.9;
// After failures: 1 s doubling to 30 s, drawn between half and the whole ("full jitter" would let a
// few ask at once). The bound keeps the view no more than half a minute behind servers that come
// back.
constexpr Duration kBackOffFirst = seconds(1), kBackOffMost = seconds(30);
// A start without a view has requests waiting for it; one with a saved view can leave the servers
// their time.
constexpr Duration kStartSpread = milliseconds(100), kStartSpreadWithView = seconds(3);

}  // namespace

void ServerMemory::answered(std::size_t server, Duration took) {
    auto &k = known.at(server);
    k.smoothed = k.smoothed == Duration{0} ? took : (k.smoothed * 7 + took) / 8;
    k.failures = 0, k.aloneUntil = Duration{0};
}

void ServerMemory::silent(std::size_t server, Duration now) {
    auto &k = known.at(server);
    const Duration alone = std::min(kAloneMost, kAloneFirst * (1 << std::min(k.failures, 6)));
    ++k.failures, k.failedAt = now, k.aloneUntil = now + alone;
}

std::vector<std::size_t> ServerMemory::order(Duration now) const {
    std::vector<std::size_t> out(known.size());
    std::iota(out.begin(), out.end(), std::size_t{0});
    const auto firstAlone = std::stable_partition(
        out.begin(), out.end(), [&](std::size_t s) { return known[s].aloneUntil <= now; });
    std::stable_sort(firstAlone, out.end(), [&](std::size_t a, std::size_t b) {
        return known[a].failedAt < known[b].failedAt;
    });
    // One that is much faster than the first comes before it; the others keep their order.
    if (firstAlone - out.begin() > 1) {
        const auto fastest =
            std::min_element(out.begin(), firstAlone, [&](std::size_t a, std::size_t b) {
                const auto time = [&](std::size_t s) {
                    return known[s].smoothed == Duration{0} ? Duration::max() : known[s].smoothed;
                };
                return time(a) < time(b);
            });
        const Duration best = known[*fastest].smoothed, first = known[out.front()].smoothed;
        if (best > Duration{0} && first > best * kMuchFaster && first > milliseconds(20))
            std::rotate(out.begin(), fastest, fastest + 1);
    }
    return out;
}

bool ofNoUse(const Message &reply) {
    const auto code = static_cast<Code>(reply.code);
    return code != Code::noError && code != Code::formErr && code != Code::notImp;
}

Asking::Asking(std::vector<std::size_t> servers, std::uint32_t seed)
    : order(std::move(servers)), chance(seed) {}

std::optional<Attempt> Asking::next() {
    if (order.empty() || attempts >= kMostAttempts || lap >= kLaps)
        return std::nullopt;
    ++attempts;
    Duration wait = overTcp ? kTcpWait : kFirstWait * (1 << lap);
    wait += Duration{std::int64_t(double(wait.count()) * 0.25 *
                                  (double(chance()) / double(std::minstd_rand::max())))};
    return Attempt{order[at], overTcp, withEdns, wait};
}

Asking::Use Asking::replied(const Message &reply) {
    if (reply.truncated && !overTcp) {  // RFC 7766, 5: the whole is to be had over TCP
        overTcp = true, lastFault = "the reply is cut and the server takes no TCP";
        return Use::again;
    }
    const auto code = static_cast<Code>(reply.code);
    if (code == Code::noError || code == Code::nxDomain)
        return Use::answer;
    // A server that does not know EDNS says so by FORMERR or NOTIMP (RFC 6891, 7): asked once more
    // without.
    if ((code == Code::formErr || code == Code::notImp) && withEdns) {
        withEdns = false, lastFault = "a reply with code " + std::to_string(reply.code);
        return Use::again;
    }
    noReply("a reply with code " + std::to_string(reply.code));
    return Use::again;
}

void Asking::noReply(const std::string &why) {
    lastFault = why;
    overTcp = false, withEdns = true;
    if (++at == order.size())
        at = 0, ++lap;
}

Duration Refresh::lifetime(const Found &found) const {
    const Duration said = seconds(found.seconds);
    const bool negative = found.kind != FoundKind::servers;
    return std::clamp(said, rules.floor,
                      std::max(rules.floor, negative ? rules.negativeCeiling : rules.ceiling));
}
double Refresh::part(double from, double to) {
    return from + (to - from) * double(chance() - 1) / double(std::minstd_rand::max());
}
Duration Refresh::first(bool haveView) {
    return Duration{std::llround(double((haveView ? kStartSpreadWithView : kStartSpread).count()) *
                                 part(0, 1))};
}
Duration Refresh::afterAnswer(Duration lifetime) {
    failures = 0;
    return Duration{std::llround(double(lifetime.count()) * part(kAheadFrom, kAheadTo))};
}
Duration Refresh::afterFailure() {
    return backedOff(kBackOffFirst, kBackOffMost, failures++, part(0.5, 1));
}
Duration Refresh::sooner(Duration wanted) {
    return Duration{std::llround(double(wanted.count()) * part(1, 1.25))};
}

Duration QuestionCap::take(Duration now) {
    left = std::min(rate, left + rate * double((now - last).count()) / 1e6);
    last = now;
    if (left >= 1)
        return left -= 1, Duration{0};
    return Duration{std::max<std::int64_t>(1, std::llround((1 - left) / rate * 1e6))};
}

}  // namespace deckcart::dns
