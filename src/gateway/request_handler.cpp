#include "request_handler.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace deckcart {

// ---- arrival ----

void RequestHandler::onRequest(std::shared_ptr<DownstreamRequest> downstream) {
    deps.clock.tick();
    deps.clock.countSocketEvent();
    if (rejectAll || deps.requests.isFull()) {
        ++deps.counts.rejected;
        return downstream->respondShed(downstream->attributes.requestId,
                                       deps.settings.rejectedRetryAfter);
    }
    // A request that is read after a stall arrived at an unknown time during it. The earliest
    // possible time is assumed, since its client may have been waiting since then.
    const TimePoint arrivedAt = deps.clock.policyTime();
    deps.requests.reserve();
    deps.clock.runAfterStall(
        [this, downstream = std::move(downstream), arrivedAt] { accept(downstream, arrivedAt); });
}

void RequestHandler::accept(std::shared_ptr<DownstreamRequest> downstream, TimePoint arrivedAt) {
    RequestContext &request = deps.requests.add(std::move(downstream), arrivedAt);
    if (!request.downstream->isOpen()) {  // the client disconnected during a stall
        deps.requests.markAbandoned(request);
        return deps.requests.removeIfFinished(request);
    }
    if (deps.clock.lastTick() >= request.policyDeadline) {
        // No attempt was sent, so the request is shed rather than failed: the client may safely
        // retry.
        deps.requests.shed(request, deps.settings.policy.maxRetryAfter);
        return deps.requests.removeIfFinished(request);
    }
    request.downstream->onClientDisconnected = [this, id = request.id] {
        deps.clock.tick();
        deps.clock.countSocketEvent();
        deps.clock.runAfterStall([this, id] { onClientDisconnected(id); });
    };
    scheduleDeadlineCheck(request, request.policyDeadline - deps.clock.lastTick());
    const RequestAttributes &attributes = request.downstream->attributes;
    deps.policy.notify(RequestArrived{request.id, attributes.key,
                                      static_cast<int>(attributes.route), attributes.tenant,
                                      request.policyDeadline},
                       request.generation);
}

// ---- client disconnects ----

void RequestHandler::onClientDisconnected(RequestId id) {
    RequestContext *request = deps.requests.find(id);
    if (!request)
        return;
    if (!request->answered) {
        deps.requests.markAbandoned(*request);
        deps.requests.logEnd(*request, "gone");
    }
    deps.policy.notify(RequestAbandoned{id}, request->generation);
    request = deps.requests.find(id);
    if (!request)
        return;
    // A streamed response has no reader any more and ends here. Other attempts end by the policy's
    // decision or at their deadline.
    if (request->isStreaming() && !request->attempt(*request->streamingAttempt).ended)
        return deps.dispatcher.end(id, *request->streamingAttempt, Outcome::cancelled);
    endUnsentAttempts(id);
    request = deps.requests.find(id);
    if (request && !request->hasOutstandingAttempts())
        deps.requests.removeIfFinished(*request);
}

// Attempts that no endpoint can have received completely are not sent for a client that has
// disconnected. Whether attempts that were already sent are cancelled depends on the settings.
void RequestHandler::endUnsentAttempts(RequestId id) {
    RequestContext *request = deps.requests.find(id);
    for (int number = 0; request && static_cast<std::size_t>(number) < request->attempts.size();
         ++number) {
        const AttemptContext &attempt = request->attempt(number);
        if (attempt.ended || attempt.call->startedSending())
            continue;
        deps.dispatcher.end(id, number, Outcome::obsolete);
        request = deps.requests.find(id);
    }
}

// ---- deadlines ----

void RequestHandler::scheduleDeadlineCheck(RequestContext &request, Duration delay) {
    request.deadlineTimer.expires_after(std::max(Duration{0}, delay));
    request.deadlineTimer.async_wait(guard.wrap([this, id = request.id](asio::error_code error) {
        if (!error)
            deps.clock.runAfterStall([this, id] { onDeadline(id); });
    }));
}

void RequestHandler::onDeadline(RequestId id) {
    RequestContext *request = deps.requests.find(id);
    if (!request)
        return;
    const TimePoint now = deps.clock.lastTick();
    if (now >= request->policyDeadline && !endOverdueAttempts(id))
        return;
    if (request->answered || request->isStreaming())
        return;
    if (now < request->policyDeadline)
        return scheduleDeadlineCheck(*request, request->policyDeadline - deps.clock.lastTick());
    // The policy is given the first half of the answer margin to answer by itself.
    const TimePoint fallbackTime = request->policyDeadline + deps.settings.responseMargin / 2;
    if (now < fallbackTime)
        return scheduleDeadlineCheck(*request, fallbackTime - now);
    // Protects the client from a policy that fails to answer in time, which should never happen.
    ++deps.counts.failedByDataPath;
    deps.requests.fail(*request, true);
    onClientDisconnected(id);
}

// Ends the attempts that have had no response by the deadline. Returns false if the request was
// removed with them.
bool RequestHandler::endOverdueAttempts(RequestId id) {
    RequestContext *request = deps.requests.find(id);
    // A response that has arrived but has not been read yet is not a time-out.
    for (int number = 0; static_cast<std::size_t>(number) < request->attempts.size(); ++number) {
        deps.dispatcher.isOutstandingAfterRead(id, number);
        request = deps.requests.find(id);
        if (!request)
            return false;
    }
    for (int number = 0; static_cast<std::size_t>(number) < request->attempts.size(); ++number) {
        const AttemptContext &attempt = request->attempt(number);
        if (attempt.ended || attempt.streaming)
            continue;
        deps.dispatcher.end(id, number, Outcome::timeout);
        request = deps.requests.find(id);
        if (!request)
            return false;
    }
    return true;
}

// ---- final answers ----

void RequestHandler::failAll() {
    rejectAll = true;
    failMatching([](const RequestContext &) { return true; });
}

void RequestHandler::failOverdue(TimePoint now) {
    failMatching([now](const RequestContext &request) {
        return !request.isStreaming() && now >= request.policyDeadline;
    });
}

// Answers without the policy, which is then notified that the requests were abandoned.
void RequestHandler::failMatching(const std::function<bool(const RequestContext &)> &shouldFail) {
    std::vector<RequestId> ids;
    for (const auto &[id, request] : deps.requests.all())
        if (!request->answered && shouldFail(*request))
            ids.push_back(id);
    for (const RequestId id : ids) {
        ++deps.counts.failedByDataPath;
        deps.requests.fail(*deps.requests.find(id), true);
        deps.clock.runAfterStall([this, id] { onClientDisconnected(id); });
    }
}

void RequestHandler::shed(const ShedRequest &decision) {
    RequestContext *request = deps.requests.find(decision.requestId);
    if (!request)
        return;
    deps.requests.shed(*request, decision.retryAfter);
    deps.requests.removeIfFinished(*request);
}

void RequestHandler::fail(const FailRequest &decision) {
    RequestContext *request = deps.requests.find(decision.requestId);
    if (!request)
        return;
    const auto &attempts = request->attempts;
    const bool late = !attempts.empty() && (attempts.back().outcome == Outcome::timeout ||
                                            attempts.back().outcome == Outcome::cancelled);
    deps.requests.fail(*request, late);
    deps.requests.removeIfFinished(*request);
}

}  // namespace deckcart
