// Manages the attempts of requests in flight: sends them, passes their responses on to the client,
// ends them and notifies the policy. Sends only what the policy has decided, except for faults
// that a scenario injects.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "endpoint_snapshot.hpp"
#include "request_table.hpp"
#include "response_history.hpp"

namespace deckcart {

/// Faults that a scenario run injects into the data path to prove that its invariant checks detect
/// them. Never set in production.
struct DataPathFaults {
    /// Sends first attempts to the endpoint that was most recently listed as draining.
    bool sendsAfterDrain = false;
    bool answersTwice = false;  ///< Writes a second response after each response.
    /// Sends an attempt again after a connection reset, without a decision of the policy.
    bool repeatsNonRetriable = false;
};

class AttemptDispatcher {
  public:
    /// The collaborators of the dispatcher; all must outlive it.
    struct Dependencies {
        const GatewaySettings &settings;
        LoopClock &clock;
        PolicyDriver &policy;
        RequestTable &requests;
        UpstreamPool &upstreams;
        const EndpointSnapshot &endpoints;
        ResponseHistory &history;
        GatewayCounts &counts;
    };
    AttemptDispatcher(const Dependencies &dependencies, DataPathFaults faults);

    /// Carries out the policy's decision to send an attempt. An attempt that can't be sent any
    /// more ends at once, with an outcome that states the reason.
    void send(GatewayId generation, const SendAttempt &decision);
    /// Carries out the policy's decision to cancel an attempt, unless its response has arrived or
    /// is being streamed.
    void cancel(const CancelAttempt &decision);
    /// Ends an attempt that has failed or is given up; does nothing if it has already ended. May
    /// remove the request.
    void end(RequestId id, int attemptNumber, Outcome outcome);
    /// Processes response data that has already arrived, which may end the attempt and remove its
    /// request. Returns whether the attempt is still outstanding afterwards.
    bool isOutstandingAfterRead(RequestId id, int attemptNumber);
    /// Ends attempts that have not been sent yet and for which `mayBeSent` returns false.
    void endUnsent(const std::function<bool(const AttemptContext &)> &mayBeSent);
    /// Ends streamed responses that have made no progress for the configured time.
    void endStalledStreams(TimePoint now);

  private:
    class Observer;
    struct AttemptKey {
        RequestId request = 0;
        int number = 0;
    };

    void endWithoutSending(RequestContext &request, GatewayId generation,
                           const EndpointId &endpoint, Outcome outcome, bool requestEnded);
    void refuseUnobservable(RequestContext &request, GatewayId generation,
                            const EndpointId &endpoint);
    std::optional<Duration> timeLeftToSend(RequestId id);
    void onResponsePart(RequestContext &request, int attemptNumber, std::string_view part);
    void startStreaming(RequestContext &request, int attemptNumber);
    void resumeReading(RequestId id, int attemptNumber);
    void complete(RequestContext &request, int attemptNumber);
    void deliverResponse(RequestContext &request, int attemptNumber);
    void injectRepeat(const RequestContext &request, const AttemptContext &attempt);

    Dependencies deps;
    DataPathFaults faults;
    std::vector<std::shared_ptr<UpstreamCall>> injectedRepeats;
};

}  // namespace deckcart
