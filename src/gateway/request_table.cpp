#include "request_table.hpp"

#include <utility>

namespace deckcart {
namespace {

// Ids fit into 52 bits, so that JSON readers that parse numbers as doubles keep them distinct.
constexpr int kIdBits = 52;
constexpr RequestId kIdMask = (RequestId{1} << kIdBits) - 1;
constexpr std::uint64_t kSeedMask = 0xffffff;
constexpr int kSeedShift = 24;

}  // namespace

RequestTable::RequestTable(const Dependencies &dependencies, std::uint64_t seed,
                           std::function<void()> finishedHandler)
    : deps(dependencies), onRequestFinished(std::move(finishedHandler)),
      lastId((seed & kSeedMask) << kSeedShift) {}

RequestContext &RequestTable::add(std::shared_ptr<DownstreamRequest> downstream,
                                  TimePoint arrivedAt) {
    const RequestId id = ++lastId & kIdMask;
    auto newRequest = std::make_unique<RequestContext>(deps.context);
    RequestContext &request = *newRequest;
    request.id = id;
    request.generation = deps.policy.currentGeneration();
    request.downstream = std::move(downstream);
    const RequestAttributes &attributes = request.downstream->attributes;
    request.arrivedAt = arrivedAt;
    request.clientDeadline = arrivedAt + attributes.timeout;
    request.policyDeadline = request.clientDeadline - deps.settings.responseMargin;
    request.clientRequestId = attributes.requestId;
    if (request.clientRequestId.empty())
        request.clientRequestId = deps.settings.id + "-" + std::to_string(id);
    requests.emplace(id, std::move(newRequest));
    deps.policy.addRequest();
    ++deps.counts.accepted;
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
    ++deps.counts.shed;
    if (request.isStreaming())
        request.downstream->abort();
    else
        request.downstream->respondShed(request.clientRequestId, retryAfter);
    logEnd(request, "shed");
    onRequestFinished();
}

void RequestTable::fail(RequestContext &request, bool late) {
    if (request.answered)
        return;
    markAnswered(request);
    ++deps.counts.failed;
    if (request.isStreaming())
        request.downstream->abort();
    else
        request.downstream->respondError(request.clientRequestId, late);
    logEnd(request, "errored");
    onRequestFinished();
}

void RequestTable::markCompleted(RequestContext &request) {
    markAnswered(request);
    ++deps.counts.completed;
    logEnd(request, "completed");
}

void RequestTable::markAbandoned(RequestContext &request) {
    markAnswered(request);
    ++deps.counts.abandoned;
}

void RequestTable::markAnswered(RequestContext &request) {
    request.answered = true;
    --unanswered;
}

void RequestTable::logEnd(const RequestContext &request, const char *end) {
    deps.log.write(request, end, deps.clock.lastTick());
}

void RequestTable::removeIfFinished(RequestContext &request) {
    if (request.hasOutstandingAttempts() || !request.answered)
        return;
    const GatewayId generation = request.generation;
    request.downstream->onClientDisconnected = nullptr;
    request.downstream->onDrained = nullptr;
    requests.erase(request.id);
    deps.policy.removeRequest(generation);
    onRequestFinished();
}

void RequestTable::releaseAll() {
    for (const auto &[id, request] : requests) {
        request->downstream->onClientDisconnected = nullptr;
        request->downstream->onDrained = nullptr;
        for (const AttemptContext &attempt : request->attempts)
            if (!attempt.ended)
                attempt.call->release(deps.clock.lastTick());
    }
}

}  // namespace deckcart
