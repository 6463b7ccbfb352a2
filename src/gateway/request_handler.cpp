#include "request_handler.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace deckcart {

// ---- arrival ----

void RequestHandler::onRequest(std::shared_ptr<DownstreamRequest> downstream) {
    use.clock.turn();
    use.clock.countSocketEvent();
    if (rejectsAll || use.requests.isFull()) {
        ++use.counts.rejected;
        return downstream->shed(downstream->attributes.name, use.settings.rejectedRetryAfter);
    }
    // What is read after a stall came at some time during it: the earliest is taken, as its client
    // may have been waiting since.
    const TimePoint arrivedAt = use.clock.policyTime();
    use.requests.reserve();
    use.clock.afterStall(
        [this, downstream = std::move(downstream), arrivedAt] { accept(downstream, arrivedAt); });
}

void RequestHandler::accept(std::shared_ptr<DownstreamRequest> downstream, TimePoint arrivedAt) {
    RequestContext &request = use.requests.add(std::move(downstream), arrivedAt);
    if (!request.downstream->open()) {  // its client left during a stall
        use.requests.markAbandoned(request);
        return use.requests.removeIfOver(request);
    }
    if (use.clock.lastTurn() >= request.policyDeadline) {
        // Nothing was sent for it: saying so lets the client come back.
        use.requests.shed(request, use.settings.module.maxRetryAfter);
        return use.requests.removeIfOver(request);
    }
    request.downstream->onGone = [this, id = request.id] {
        use.clock.turn();
        use.clock.countSocketEvent();
        use.clock.afterStall([this, id] { onClientGone(id); });
    };
    wakeAfter(request, request.policyDeadline - use.clock.lastTurn());
    const RequestAttributes &attributes = request.downstream->attributes;
    use.policy.notify(RequestArrived{request.id, attributes.key, static_cast<int>(attributes.route),
                                     attributes.tenant, request.policyDeadline},
                      request.record);
}

// ---- the client leaves ----

void RequestHandler::onClientGone(RequestId id) {
    RequestContext *request = use.requests.find(id);
    if (!request)
        return;
    if (!request->answered) {
        use.requests.markAbandoned(*request);
        use.requests.logEnd(*request, "gone");
    }
    use.policy.notify(RequestAbandoned{id}, request->record);
    request = use.requests.find(id);
    if (!request)
        return;
    // A stream has no reader any more; other attempts end by the policy's decision, or by their
    // time.
    if (request->isStreaming() && !request->attempt(*request->streamingAttempt).ended)
        return use.attempts.end(id, *request->streamingAttempt, Outcome::cancelled);
    endUnsentAttempts(id);
    request = use.requests.find(id);
    if (request && !request->hasOutstandingAttempts())
        use.requests.removeIfOver(*request);
}

// What no endpoint can have got whole is not sent for a client that has left, whatever the settings
// say of attempts that have been handed over.
void RequestHandler::endUnsentAttempts(RequestId id) {
    RequestContext *request = use.requests.find(id);
    for (int number = 0; request && static_cast<std::size_t>(number) < request->attempts.size();
         ++number) {
        const AttemptContext &attempt = request->attempt(number);
        if (attempt.ended || attempt.call->startedSending())
            continue;
        use.attempts.end(id, number, Outcome::obsolete);
        request = use.requests.find(id);
    }
}

// ---- deadlines ----

void RequestHandler::wakeAfter(RequestContext &request, Duration delay) {
    request.deadlineTimer.expires_after(std::max(Duration{0}, delay));
    request.deadlineTimer.async_wait(guard.wrap([this, id = request.id](asio::error_code fault) {
        if (!fault)
            use.clock.afterStall([this, id] { onDeadline(id); });
    }));
}

void RequestHandler::onDeadline(RequestId id) {
    RequestContext *request = use.requests.find(id);
    if (!request)
        return;
    const TimePoint now = use.clock.lastTurn();
    if (now >= request->policyDeadline && !endOverdueAttempts(id))
        return;
    if (request->answered || request->isStreaming())
        return;
    if (now < request->policyDeadline)
        return wakeAfter(*request, request->policyDeadline - use.clock.lastTurn());
    // The policy's own turn to answer comes first.
    const TimePoint guardTime = request->policyDeadline + use.settings.answerMargin / 2;
    if (now < guardTime)
        return wakeAfter(*request, guardTime - now);
    // Guards the client against a policy that holds a request too long: it never should.
    ++use.counts.overdue;
    use.requests.fail(*request, true);
    onClientGone(id);
}

// Ends the attempts that have had no response in time. False where the request is gone with them.
bool RequestHandler::endOverdueAttempts(RequestId id) {
    RequestContext *request = use.requests.find(id);
    // What has come in time is no time-out.
    for (int number = 0; static_cast<std::size_t>(number) < request->attempts.size(); ++number) {
        use.attempts.isOutstandingAfterRead(id, number);
        request = use.requests.find(id);
        if (!request)
            return false;
    }
    for (int number = 0; static_cast<std::size_t>(number) < request->attempts.size(); ++number) {
        const AttemptContext &attempt = request->attempt(number);
        if (attempt.ended || attempt.streaming)
            continue;
        use.attempts.end(id, number, Outcome::timeout);
        request = use.requests.find(id);
        if (!request)
            return false;
    }
    return true;
}

// ---- final answers ----

void RequestHandler::failAll() {
    rejectsAll = true;
    failWhere([](const RequestContext &) { return true; });
}

void RequestHandler::failOverdue(TimePoint now) {
    failWhere([now](const RequestContext &request) {
        return !request.isStreaming() && now >= request.policyDeadline;
    });
}

// Answers in place of the policy, which is notified of them as abandoned.
void RequestHandler::failWhere(const std::function<bool(const RequestContext &)> &isOverdue) {
    std::vector<RequestId> overdue;
    for (const auto &[id, request] : use.requests.all())
        if (!request->answered && isOverdue(*request))
            overdue.push_back(id);
    for (const RequestId id : overdue) {
        ++use.counts.overdue;
        use.requests.fail(*use.requests.find(id), true);
        use.clock.afterStall([this, id] { onClientGone(id); });
    }
}

void RequestHandler::shed(const ShedRequest &decision) {
    RequestContext *request = use.requests.find(decision.requestId);
    if (!request)
        return;
    use.requests.shed(*request, decision.retryAfter);
    use.requests.removeIfOver(*request);
}

void RequestHandler::fail(const FailRequest &decision) {
    RequestContext *request = use.requests.find(decision.requestId);
    if (!request)
        return;
    const auto &attempts = request->attempts;
    const bool late = !attempts.empty() && (attempts.back().outcome == Outcome::timeout ||
                                            attempts.back().outcome == Outcome::cancelled);
    use.requests.fail(*request, late);
    use.requests.removeIfOver(*request);
}

}  // namespace deckcart
