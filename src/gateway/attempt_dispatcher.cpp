#include "attempt_dispatcher.hpp"

#include <utility>

namespace deckcart {
namespace {

// For the fault that sends an attempt again: what becomes of it is nobody's business.
class IgnoringObserver : public CallObserver {
  public:
    void onResponse(std::string_view /*part*/) override {}
    void onCallEnd(Outcome /*outcome*/) override {}
};

}  // namespace

// Of one attempt's call. The attempt owns it, and its call is released before the attempt goes.
class AttemptDispatcher::Observer : public CallObserver {
  public:
    Observer(AttemptDispatcher &dispatcher, RequestId request, int number)
        : owner(dispatcher), id(request), attemptNumber(number) {}

    void onResponse(std::string_view part) override {
        if (RequestContext *request = owner.use.requests.find(id))
            owner.onResponsePart(*request, attemptNumber, part);
    }

    void onCallEnd(Outcome outcome) override {
        LoopClock &clock = owner.use.clock;
        clock.turn();
        clock.countSocketEvent();
        RequestContext *request = owner.use.requests.find(id);
        if (!request)
            return;
        // A good response is passed on at once, even while a stall is being handled.
        if (outcome == Outcome::ok)
            return owner.complete(*request, attemptNumber);
        clock.afterStall([&dispatcher = owner, requestId = id, number = attemptNumber, outcome] {
            dispatcher.end(requestId, number, outcome);
        });
    }

  private:
    AttemptDispatcher &owner;
    RequestId id;
    int attemptNumber;
};

AttemptDispatcher::AttemptDispatcher(const Services &services, DataPathFaults shellFaults)
    : use(services), faults(shellFaults) {}

// ---- sending ----

void AttemptDispatcher::send(GatewayId record, const SendAttempt &decision) {
    RequestContext *found = use.requests.find(decision.requestId);
    if (!found)
        return;
    RequestContext &request = *found;
    const int number = static_cast<int>(request.attempts.size());
    EndpointId endpoint = decision.endpoint;
    if (faults.sendsAfterDrain && !use.endpoints.lastDraining().empty() && number == 0)
        endpoint = use.endpoints.lastDraining();
    // The client has closed, and this loop has not come to read that yet.
    if (!request.answered && !request.downstream->isClientConnected())
        return refuseToSend(request, record, decision.endpoint, Outcome::obsolete, true);
    // The request is over, or bound to a response that has begun, or its deadline has passed on the
    // real clock.
    if (request.answered || request.isStreaming() || use.clock.lastTurn() >= request.policyDeadline)
        return refuseToSend(request, record, decision.endpoint, Outcome::obsolete, false);
    const auto call = use.upstreams.take(endpoint);
    if (!call)  // no address, or all of its connections are in use
        return refuseToSend(request, record, decision.endpoint, Outcome::connectFailed, false);
    ++use.counts.attempts;
    AttemptContext attempt;
    attempt.endpoint = endpoint;
    attempt.call = call;
    attempt.sentAt = use.clock.turn();
    attempt.lastProgressAt = attempt.sentAt;
    if (const EndpointEntry *entry = use.endpoints.find(endpoint))
        attempt.build = entry->build;
    attempt.observer = std::make_unique<Observer>(*this, request.id, number);
    CallObserver *observer = attempt.observer.get();
    const BuildNumber build = attempt.build;
    request.attempts.push_back(std::move(attempt));
    call->start(
        *request.downstream, request.clientRequestId,
        [this, id = request.id] { return timeLeftToSend(id); }, build, observer);
}

void AttemptDispatcher::refuseToSend(RequestContext &request, GatewayId record,
                                     const EndpointId &endpoint, Outcome outcome,
                                     bool requestEnded) {
    const int number = static_cast<int>(request.attempts.size());
    AttemptContext attempt;
    attempt.endpoint = endpoint;
    attempt.ended = true;
    attempt.outcome = outcome;
    attempt.sentAt = use.clock.turn();
    request.attempts.push_back(std::move(attempt));
    use.policy.notify(AttemptEnded{request.id, number, requestEnded || request.answered, outcome},
                      record);
}

// The last check before an attempt's first byte: its connection may have taken a while.
std::optional<Duration> AttemptDispatcher::timeLeftToSend(RequestId id) {
    const RequestContext *request = use.requests.find(id);
    if (!request)
        return std::nullopt;
    const TimePoint now = use.clock.realTime();
    if (request->answered || now >= request->policyDeadline ||
        !request->downstream->isClientConnected())
        return std::nullopt;
    return request->clientDeadline - now;
}

// ---- ending ----

void AttemptDispatcher::cancel(const CancelAttempt &decision) {
    // A response that has come is not withdrawn any more, nor is one that the client is getting.
    if (!isOutstandingAfterRead(decision.requestId, decision.attemptNumber))
        return;
    RequestContext &request = *use.requests.find(decision.requestId);
    if (!request.attempt(decision.attemptNumber).streaming || request.answered)
        end(decision.requestId, decision.attemptNumber, Outcome::cancelled);
}

bool AttemptDispatcher::isOutstandingAfterRead(RequestId id, int attemptNumber) {
    const auto outstanding = [&]() -> const AttemptContext * {
        RequestContext *request = use.requests.find(id);
        if (!request || static_cast<std::size_t>(attemptNumber) >= request->attempts.size())
            return nullptr;
        const AttemptContext &attempt = request->attempt(attemptNumber);
        return attempt.ended ? nullptr : &attempt;
    };
    const AttemptContext *attempt = outstanding();
    if (!attempt)
        return false;
    const auto call = attempt->call;  // kept here: it may go with its request
    call->look();
    return outstanding() != nullptr;
}

void AttemptDispatcher::end(RequestId id, int attemptNumber, Outcome outcome) {
    RequestContext *request = use.requests.find(id);
    if (!request)
        return;
    AttemptContext &attempt = request->attempt(attemptNumber);
    if (attempt.ended)
        return;
    attempt.ended = true;
    attempt.outcome = outcome;
    // Nothing may come of an attempt whose outcome the policy knows: a connection in the middle of
    // one is closed.
    attempt.call->release(use.clock.lastTurn());
    attempt.bufferedResponse.clear();
    bool requestEnded = request->answered;
    if (request->streamingAttempt == attemptNumber && !request->answered) {
        // The response broke off in the middle: only a cut connection tells the client.
        use.requests.fail(*request, false);
        requestEnded = true;
    }
    if (faults.repeatsNonRetriable && outcome == Outcome::reset)
        repeatByFault(*request, attempt);
    use.policy.notify(AttemptEnded{id, attemptNumber, requestEnded, outcome}, request->record);
    if (RequestContext *left = use.requests.find(id))
        use.requests.removeIfOver(*left);
}

void AttemptDispatcher::repeatByFault(const RequestContext &request,
                                      const AttemptContext &attempt) {
    static IgnoringObserver ignoring;
    const auto call = use.upstreams.take(attempt.endpoint);
    if (!call)
        return;
    call->start(
        *request.downstream, request.clientRequestId,
        [most = use.settings.upstream.streamStallTimeout] { return std::optional(most); },
        attempt.build, &ignoring);
    faultyRepeats.push_back(call);
}

// An attempt that is still being connected when its endpoint is listed as draining or as running
// another build, or when its build's exposure limit is lowered, would break what has just been
// said: it ends as one that could not be connected, and where the request goes then is the policy's
// decision.
void AttemptDispatcher::endUnsent(const std::function<bool(const AttemptContext &)> &mayBeSent) {
    std::vector<AttemptKey> unsent;
    for (const auto &[id, request] : use.requests.all()) {
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
    for (const auto &[id, request] : use.requests.all()) {
        if (!request->isStreaming())
            continue;
        const AttemptContext &attempt = request->attempt(*request->streamingAttempt);
        const bool slowReader = request->downstream->waiting() > 0;  // the listener ends those
        if (!attempt.ended && !slowReader &&
            now - attempt.lastProgressAt > use.settings.upstream.streamStallTimeout)
            stalled.push_back({id, *request->streamingAttempt});
    }
    for (const AttemptKey &key : stalled)
        end(key.request, key.number, Outcome::timeout);
}

// ---- responses ----

// A part of a response is buffered while the response is short enough to be passed on whole, so
// that an error in it can be retried; a longer one is streamed as it comes.
void AttemptDispatcher::onResponsePart(RequestContext &request, int attemptNumber,
                                       std::string_view part) {
    use.clock.turn();
    use.clock.countSocketEvent();
    AttemptContext &attempt = request.attempt(attemptNumber);
    attempt.lastProgressAt = use.clock.lastTurn();
    if (attempt.streaming) {
        request.downstream->write(part);
    } else {
        attempt.bufferedResponse.append(part);
        if (attempt.bufferedResponse.size() <= use.settings.upstream.bufferedResponseBytes)
            return;
        if (request.answered || request.isStreaming()) {
            attempt.bufferedResponse.clear();  // no client will get it
            return;
        }
        startStreaming(request, attemptNumber);
    }
    // A reader slower than the endpoint holds the endpoint back, not this process's memory.
    if (request.downstream->waiting() > use.settings.listener.waitingBytes)
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
    request.downstream->begin(*attempt.call);
    request.downstream->write(std::exchange(attempt.bufferedResponse, {}));
}

void AttemptDispatcher::resumeReading(RequestId id, int attemptNumber) {
    RequestContext *request = use.requests.find(id);
    if (!request)
        return;
    AttemptContext &paused = request->attempt(attemptNumber);
    if (paused.ended)
        return;
    paused.lastProgressAt = use.clock.turn();
    paused.call->resume();
}

void AttemptDispatcher::complete(RequestContext &request, int attemptNumber) {
    AttemptContext &attempt = request.attempt(attemptNumber);
    if (attempt.ended)
        return;
    attempt.ended = true;
    attempt.outcome = Outcome::ok;
    attempt.call->release(use.clock.lastTurn());
    if (!request.answered && request.streamingAttempt.value_or(attemptNumber) == attemptNumber)
        passOnWhole(request, attemptNumber);
    const RequestId id = request.id;
    attempt.bufferedResponse = {};
    use.policy.notify(AttemptEnded{id, attemptNumber, true, Outcome::ok}, request.record);
    if (RequestContext *left = use.requests.find(id))
        use.requests.removeIfOver(*left);
}

void AttemptDispatcher::passOnWhole(RequestContext &request, int attemptNumber) {
    const AttemptContext &attempt = request.attempt(attemptNumber);
    if (request.isStreaming())
        request.downstream->end();
    else
        request.downstream->completed(*attempt.call, attempt.bufferedResponse);
    if (faults.answersTwice)
        request.downstream->injectDuplicateResponse();
    use.requests.markCompleted(request);
    use.history.add(request.clientRequestId, {attempt.endpoint, attempt.sentAt},
                    use.settings.responseHistorySize);
}

}  // namespace deckcart
