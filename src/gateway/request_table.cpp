#include "request_table.hpp"

#include <utility>

namespace deckcart {
namespace {

// Ids stay within the whole numbers that a JSON reader with doubles keeps apart.
constexpr int kIdBits = 52;
constexpr RequestId kIdMask = (RequestId{1} << kIdBits) - 1;
constexpr std::uint64_t kSeedMask = 0xffffff;
constexpr int kSeedShift = 24;

}  // namespace

RequestTable::RequestTable(const Services &services, std::uint64_t seed,
                           std::function<void()> onFewerRequests)
    : use(services), onFewer(std::move(onFewerRequests)), lastId((seed & kSeedMask) << kSeedShift) {
}

RequestContext &RequestTable::add(std::shared_ptr<DownstreamRequest> downstream,
                                  TimePoint arrivedAt) {
    const RequestId id = ++lastId & kIdMask;
    auto made = std::make_unique<RequestContext>(use.context);
    RequestContext &request = *made;
    request.id = id;
    request.record = use.policy.currentRecord();
    request.downstream = std::move(downstream);
    const RequestAttributes &attributes = request.downstream->attributes;
    request.arrivedAt = arrivedAt;
    request.clientDeadline = arrivedAt + attributes.wait;
    request.policyDeadline = request.clientDeadline - use.settings.answerMargin;
    request.clientRequestId = attributes.name;
    if (request.clientRequestId.empty())
        request.clientRequestId = use.settings.id + "-" + std::to_string(id);
    requests.emplace(id, std::move(made));
    use.policy.addRequest();
    ++use.counts.taken;
    return request;
}

RequestContext *RequestTable::find(RequestId id) {
    const auto found = requests.find(id);
    return found == requests.end() ? nullptr : found->second.get();
}

void RequestTable::shed(RequestContext &request, Duration retryAfter) {
    if (request.answered)
        return;
    markAnswered(request);
    ++use.counts.shed;
    if (request.isStreaming())
        request.downstream->abort();
    else
        request.downstream->shed(request.clientRequestId, retryAfter);
    logEnd(request, "shed");
    onFewer();
}

void RequestTable::fail(RequestContext &request, bool late) {
    if (request.answered)
        return;
    markAnswered(request);
    ++use.counts.errored;
    if (request.isStreaming())
        request.downstream->abort();
    else
        request.downstream->errored(request.clientRequestId, late);
    logEnd(request, "errored");
    onFewer();
}

void RequestTable::markCompleted(RequestContext &request) {
    markAnswered(request);
    ++use.counts.completed;
    logEnd(request, "completed");
}

void RequestTable::markAbandoned(RequestContext &request) {
    markAnswered(request);
    ++use.counts.gone;
}

void RequestTable::markAnswered(RequestContext &request) {
    request.answered = true;
    --unanswered;
}

void RequestTable::logEnd(const RequestContext &request, const char *end) {
    use.log.write(request, end, use.clock.lastTurn());
}

void RequestTable::removeIfOver(RequestContext &request) {
    if (request.hasOutstandingAttempts() || !request.answered)
        return;
    const GatewayId record = request.record;
    request.downstream->onGone = nullptr;
    request.downstream->onDrained = nullptr;
    requests.erase(request.id);
    use.policy.removeRequest(record);
    onFewer();
}

void RequestTable::releaseAll() {
    for (const auto &[id, request] : requests) {
        request->downstream->onGone = nullptr;
        request->downstream->onDrained = nullptr;
        for (const AttemptContext &attempt : request->attempts)
            if (!attempt.ended)
                attempt.call->release(use.clock.lastTurn());
    }
}

}  // namespace deckcart
