// The attempts of requests in flight: sends them, passes responses on to the client, ends them and
// notifies the policy. Sends only what the policy has decided, but for a fault that a scenario asks
// for.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "endpoint_snapshot.hpp"
#include "request_table.hpp"
#include "response_history.hpp"

namespace deckcart {

/// Faults of the data path that a scenario run asks for, to show that its invariant checks find
/// them. Never set in service.
struct DataPathFaults {
    bool sendsAfterDrain = false;      ///< First attempts go to what was listed as draining last.
    bool answersTwice = false;         ///< Writes a second answer behind each first one.
    bool repeatsNonRetriable = false;  ///< Sends an attempt that was reset again by itself.
};

class AttemptDispatcher {
  public:
    /// What the dispatcher uses; all of it must outlive the dispatcher.
    struct Services {
        const GatewaySettings &settings;
        LoopClock &clock;
        PolicyDriver &policy;
        RequestTable &requests;
        UpstreamPool &upstreams;
        const EndpointSnapshot &endpoints;
        ResponseHistory &history;
        GatewayCounts &counts;
    };
    AttemptDispatcher(const Services &services, DataPathFaults faults);

    /// Carries out the policy's decision to send an attempt. One that can't be sent any more ends
    /// at once, with the outcome that says why.
    void send(GatewayId record, const SendAttempt &decision);
    /// Carries out the policy's decision to cancel one, unless its response has come or is being
    /// passed on.
    void cancel(const CancelAttempt &decision);
    /// Ends an attempt that has failed or is given up; nothing where it has ended already. The
    /// request may be gone afterwards.
    void end(RequestId id, int attemptNumber, Outcome outcome);
    /// Reads what has come of the response already. Whether the attempt is still outstanding
    /// afterwards: reading may end it, and its request.
    bool isOutstandingAfterRead(RequestId id, int attemptNumber);
    /// Ends attempts that no endpoint can have got yet, where the endpoint may not get them any
    /// more.
    void endUnsent(const std::function<bool(const AttemptContext &)> &mayBeSent);
    /// Ends responses that have begun and have stopped coming.
    void endStalledStreams(TimePoint now);

  private:
    class Observer;
    struct AttemptKey {
        RequestId request = 0;
        int number = 0;
    };

    void refuseToSend(RequestContext &request, GatewayId record, const EndpointId &endpoint,
                      Outcome outcome, bool requestEnded);
    std::optional<Duration> timeLeftToSend(RequestId id);
    void onResponsePart(RequestContext &request, int attemptNumber, std::string_view part);
    void startStreaming(RequestContext &request, int attemptNumber);
    void resumeReading(RequestId id, int attemptNumber);
    void complete(RequestContext &request, int attemptNumber);
    void passOnWhole(RequestContext &request, int attemptNumber);
    void repeatByFault(const RequestContext &request, const AttemptContext &attempt);

    Services use;
    DataPathFaults faults;
    std::vector<std::shared_ptr<UpstreamCall>> faultyRepeats;
};

}  // namespace deckcart
