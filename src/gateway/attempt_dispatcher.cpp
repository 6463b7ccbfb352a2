#include "attempt_dispatcher.hpp"

#include <utility>

namespace deckcart {
namespace {

// Ignores the result of an attempt that was repeated by fault injection.
class IgnoringObserver : public CallObserver {
  public:
    void onResponse(std::string_view /*part*/) override {}
    void onCallEnd(Outcome /*outcome*/) override {}
};

}  // namespace

// Observes the call of one attempt. Owned by the attempt, which releases the call before it is
// destroyed.
class AttemptDispatcher::Observer : public CallObserver {
  public:
    Observer(AttemptDispatcher &dispatcher, RequestId request, int number)
        : owner(dispatcher), id(request), attemptNumber(number) {}

    void onResponse(std::string_view part) override {
        if (RequestContext *request = owner.deps.requests.find(id))
            owner.onResponsePart(*request, attemptNumber, part);
    }

    void onCallEnd(Outcome outcome) override {
        LoopClock &clock = owner.deps.clock;
        clock.tick();
        clock.countSocketEvent();
        RequestContext *request = owner.deps.requests.find(id);
        if (!request)
            return;
        // A successful response is passed on at once, even while a stall is being handled.
        if (outcome == Outcome::ok)
            return owner.complete(*request, attemptNumber);
        clock.runAfterStall([&dispatcher = owner, requestId = id, number = attemptNumber, outcome] {
            dispatcher.end(requestId, number, outcome);
        });
    }

  private:
    AttemptDispatcher &owner;
    RequestId id;
    int attemptNumber;
};

AttemptDispatcher::AttemptDispatcher(const Dependencies &dependencies,
                                     DataPathFaults injectedFaults)
    : deps(dependencies), faults(injectedFaults) {}

// ---- sending ----

void AttemptDispatcher::send(GatewayId generation, const SendAttempt &decision) {
    RequestContext *requestOrNull = deps.requests.find(decision.requestId);
    if (!requestOrNull)
        return;
    RequestContext &request = *requestOrNull;
    const int number = static_cast<int>(request.attempts.size());
    EndpointId endpoint = decision.endpoint;
    if (faults.sendsAfterDrain && !deps.endpoints.lastDraining().empty() && number == 0)
        endpoint = deps.endpoints.lastDraining();
    const PeerState client =
        request.answered ? PeerState::connected : request.downstream->clientState();
    // The client has closed the connection, and the event loop has not read the close yet.
    if (client == PeerState::closed)
        return endWithoutSending(request, generation, decision.endpoint, Outcome::obsolete, true);
    // The request has been answered, is bound to a response that is being streamed, or has passed
    // its deadline on the real clock.
    if (request.answered || request.isStreaming() ||
        deps.clock.lastTick() >= request.policyDeadline)
        return endWithoutSending(request, generation, decision.endpoint, Outcome::obsolete, false);
    if (client == PeerState::unknown)
        return refuseUnobservable(request, generation, decision.endpoint);
    const auto call = deps.upstreams.createCall(endpoint);
    if (!call)  // no address, or all connections are in use
        return endWithoutSending(request, generation, decision.endpoint, Outcome::connectFailed,
                                 false);
    ++deps.counts.attempts;
    AttemptContext attempt;
    attempt.endpoint = endpoint;
    attempt.call = call;
    attempt.sentAt = deps.clock.tick();
    attempt.lastProgressAt = attempt.sentAt;
    if (const EndpointEntry *entry = deps.endpoints.find(endpoint))
        attempt.build = entry->build;
    attempt.observer = std::make_unique<Observer>(*this, request.id, number);
    CallObserver *observer = attempt.observer.get();
    const BuildNumber build = attempt.build;
    request.attempts.push_back(std::move(attempt));
    request.downstream->onAttemptStart();
    call->start(
        *request.downstream, request.clientRequestId,
        [this, id = request.id] { return timeLeftToSend(id); }, build, observer);
}

void AttemptDispatcher::endWithoutSending(RequestContext &request, GatewayId generation,
                                          const EndpointId &endpoint, Outcome outcome,
                                          bool requestEnded) {
    const int number = static_cast<int>(request.attempts.size());
    AttemptContext attempt;
    attempt.endpoint = endpoint;
    attempt.ended = true;
    attempt.outcome = outcome;
    attempt.sentAt = deps.clock.tick();
    request.attempts.push_back(std::move(attempt));
    deps.policy.notify(AttemptEnded{request.id, number, requestEnded || request.answered, outcome},
                       generation);
}

// An attempt must not be sent for a client that has disconnected. A client that has sent more than
// is read ahead can't be told from one that has disconnected behind it, so its request ends here.
void AttemptDispatcher::refuseUnobservable(RequestContext &request, GatewayId generation,
                                           const EndpointId &endpoint) {
    const RequestId id = request.id;
    if (std::ranges::any_of(request.attempts, &AttemptContext::mayHaveRun))
        deps.requests.fail(request, false);
    else
        deps.requests.shed(request, deps.settings.rejectedRetryAfter);
    endWithoutSending(request, generation, endpoint, Outcome::obsolete, true);
    if (RequestContext *remaining = deps.requests.find(id))
        deps.requests.removeIfFinished(*remaining);
}

// The last check before an attempt is written, since connecting may have taken some time.
std::optional<Duration> AttemptDispatcher::timeLeftToSend(RequestId id) {
    const RequestContext *request = deps.requests.find(id);
    if (!request)
        return std::nullopt;
    const TimePoint now = deps.clock.realTime();
    if (request->answered || now >= request->policyDeadline ||
        request->downstream->clientState() != PeerState::connected)
        return std::nullopt;
    return request->clientDeadline - now;
}

// ---- ending ----

void AttemptDispatcher::cancel(const CancelAttempt &decision) {
    // An attempt whose response has arrived or is being streamed is not cancelled.
    if (!isOutstandingAfterRead(decision.requestId, decision.attemptNumber))
        return;
    RequestContext &request = *deps.requests.find(decision.requestId);
    if (!request.attempt(decision.attemptNumber).streaming || request.answered)
        end(decision.requestId, decision.attemptNumber, Outcome::cancelled);
}

bool AttemptDispatcher::isOutstandingAfterRead(RequestId id, int attemptNumber) {
    const auto findOutstanding = [&]() -> const AttemptContext * {
        RequestContext *request = deps.requests.find(id);
        if (!request || static_cast<std::size_t>(attemptNumber) >= request->attempts.size())
            return nullptr;
        const AttemptContext &attempt = request->attempt(attemptNumber);
        return attempt.ended ? nullptr : &attempt;
    };
    const AttemptContext *attempt = findOutstanding();
    if (!attempt)
        return false;
    const auto call = attempt->call;  // keeps the call alive if the request is removed
    call->processPendingInput();
    return findOutstanding() != nullptr;
}

void AttemptDispatcher::end(RequestId id, int attemptNumber, Outcome outcome) {
    RequestContext *request = deps.requests.find(id);
    if (!request)
        return;
    AttemptContext &attempt = request->attempt(attemptNumber);
    if (attempt.ended)
        return;
    attempt.ended = true;
    attempt.outcome = outcome;
    // The policy now knows the outcome, so no response may arrive later: a connection in the
    // middle of a call is closed.
    attempt.call->release(deps.clock.lastTick());
    attempt.bufferedResponse.clear();
    bool requestEnded = request->answered;
    if (request->streamingAttempt == attemptNumber && !request->answered) {
        // The response broke off after its head was sent: only closing the connection tells the
        // client.
        deps.requests.fail(*request, false);
        requestEnded = true;
    }
    if (faults.repeatsNonRetriable && outcome == Outcome::reset)
        injectRepeat(*request, attempt);
    deps.policy.notify(AttemptEnded{id, attemptNumber, requestEnded, outcome}, request->generation);
    if (RequestContext *remaining = deps.requests.find(id))
        deps.requests.removeIfFinished(*remaining);
}

void AttemptDispatcher::injectRepeat(const RequestContext &request, const AttemptContext &attempt) {
    static IgnoringObserver ignoringObserver;
    const auto call = deps.upstreams.createCall(attempt.endpoint);
    if (!call)
        return;
    call->start(
        *request.downstream, request.clientRequestId,
        [timeout = deps.settings.upstream.streamStallTimeout] { return std::optional(timeout); },
        attempt.build, &ignoringObserver);
    injectedRepeats.push_back(call);
}

// Sending an attempt that is still connecting would violate an update that has just been applied:
// its endpoint is now draining or runs another build, or the exposure limit of its build has been
// lowered. Such an attempt ends as connectFailed, so that the policy decides where the request
// goes next.
void AttemptDispatcher::endUnsent(const std::function<bool(const AttemptContext &)> &mayBeSent) {
    std::vector<AttemptKey> unsent;
    for (const auto &[id, request] : deps.requests.all()) {
        int number = 0;
        for (const AttemptContext &attempt : request->attempts) {
            if (!attempt.ended && !mayBeSent(attempt) && !attempt.call->startedSending())
                unsent.push_back({id, number});
            ++number;
        }
    }
    for (const AttemptKey &key : unsent)
        end(key.request, key.number, Outcome::connectFailed);
}

void AttemptDispatcher::endStalledStreams(TimePoint now) {
    std::vector<AttemptKey> stalled;
    for (const auto &[id, request] : deps.requests.all()) {
        if (!request->isStreaming())
            continue;
        const AttemptContext &attempt = request->attempt(*request->streamingAttempt);
        const bool slowReader =
            request->downstream->pendingBytes() > 0;  // the listener's time-out closes slow clients
        if (!attempt.ended && !slowReader &&
            now - attempt.lastProgressAt > deps.settings.upstream.streamStallTimeout)
            stalled.push_back({id, *request->streamingAttempt});
    }
    for (const AttemptKey &key : stalled)
        end(key.request, key.number, Outcome::timeout);
}

// ---- responses ----

// Buffers the response while it is short enough to be passed on as a whole, so that a failure in
// the middle can be retried. A longer response is streamed.
void AttemptDispatcher::onResponsePart(RequestContext &request, int attemptNumber,
                                       std::string_view part) {
    deps.clock.tick();
    deps.clock.countSocketEvent();
    AttemptContext &attempt = request.attempt(attemptNumber);
    attempt.lastProgressAt = deps.clock.lastTick();
    if (attempt.streaming) {
        request.downstream->write(part);
    } else {
        attempt.bufferedResponse.append(part);
        if (attempt.bufferedResponse.size() <= deps.settings.upstream.bufferedResponseBytes)
            return;
        if (request.answered || request.isStreaming()) {
            attempt.bufferedResponse.clear();  // no client is waiting for it
            return;
        }
        startStreaming(request, attemptNumber);
    }
    // Backpressure: if the client reads more slowly than the endpoint sends, reading pauses, which
    // bounds the memory used here.
    if (request.downstream->pendingBytes() > deps.settings.listener.waitingBytes)
        attempt.call->pause();
}

void AttemptDispatcher::startStreaming(RequestContext &request, int attemptNumber) {
    AttemptContext &attempt = request.attempt(attemptNumber);
    request.streamingAttempt = attemptNumber;
    attempt.streaming = true;
    request.deadlineTimer.cancel();
    request.downstream->onDrained = [this, id = request.id, attemptNumber] {
        resumeReading(id, attemptNumber);
    };
    request.downstream->beginResponse(*attempt.call);
    request.downstream->write(std::exchange(attempt.bufferedResponse, {}));
}

void AttemptDispatcher::resumeReading(RequestId id, int attemptNumber) {
    RequestContext *request = deps.requests.find(id);
    if (!request)
        return;
    AttemptContext &paused = request->attempt(attemptNumber);
    if (paused.ended)
        return;
    paused.lastProgressAt = deps.clock.tick();
    paused.call->resume();
}

void AttemptDispatcher::complete(RequestContext &request, int attemptNumber) {
    AttemptContext &attempt = request.attempt(attemptNumber);
    if (attempt.ended)
        return;
    attempt.ended = true;
    attempt.outcome = Outcome::ok;
    attempt.call->release(deps.clock.lastTick());
    if (!request.answered && request.streamingAttempt.value_or(attemptNumber) == attemptNumber)
        deliverResponse(request, attemptNumber);
    const RequestId id = request.id;
    attempt.bufferedResponse = {};
    deps.policy.notify(AttemptEnded{id, attemptNumber, true, Outcome::ok}, request.generation);
    if (RequestContext *remaining = deps.requests.find(id))
        deps.requests.removeIfFinished(*remaining);
}

void AttemptDispatcher::deliverResponse(RequestContext &request, int attemptNumber) {
    const AttemptContext &attempt = request.attempt(attemptNumber);
    if (request.isStreaming())
        request.downstream->end();
    else
        request.downstream->respond(*attempt.call, attempt.bufferedResponse);
    if (faults.answersTwice)
        request.downstream->injectDuplicateResponse();
    deps.requests.markCompleted(request);
    deps.history.add(request.clientRequestId, {attempt.endpoint, attempt.sentAt},
                     deps.settings.responseHistorySize);
}

}  // namespace deckcart
