// The client side of requests: accepts them, enforces their deadlines, handles clients that
// disconnect, and carries out the policy's final answers.
#pragma once

#include <functional>
#include <memory>

#include "../base/callback_guard.hpp"
#include "attempt_dispatcher.hpp"
#include "request_table.hpp"

namespace deckcart {

class RequestHandler {
  public:
    /// The collaborators of the handler; all must outlive it.
    struct Dependencies {
        const GatewaySettings &settings;
        LoopClock &clock;
        PolicyDriver &policy;
        RequestTable &requests;
        AttemptDispatcher &dispatcher;
        GatewayCounts &counts;
    };
    explicit RequestHandler(const Dependencies &dependencies) : deps(dependencies) {}

    /// Handles a request that has been read completely.
    void onRequest(std::shared_ptr<DownstreamRequest> downstream);
    /// Fails all requests that have not been answered and rejects all later ones.
    void failAll();
    /// Fails requests whose deadline has passed. Called first when a process stall is detected.
    void failOverdue(TimePoint now);

    void shed(const ShedRequest &decision);
    void fail(const FailRequest &decision);

  private:
    void accept(std::shared_ptr<DownstreamRequest> downstream, TimePoint arrivedAt);
    void onClientDisconnected(RequestId id);
    void endUnsentAttempts(RequestId id);
    void scheduleDeadlineCheck(RequestContext &request, Duration delay);
    void onDeadline(RequestId id);
    bool endOverdueAttempts(RequestId id);
    void failMatching(const std::function<bool(const RequestContext &)> &shouldFail);

    Dependencies deps;
    bool rejectAll = false;
    CallbackGuard guard;
};

}  // namespace deckcart
