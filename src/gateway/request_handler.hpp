// The client's side of requests: accepts them, watches their deadlines, notices that a client has
// left, and carries out the policy's final answers.
#pragma once

#include <functional>
#include <memory>

#include "../base/callback_guard.hpp"
#include "attempt_dispatcher.hpp"
#include "request_table.hpp"

namespace deckcart {

class RequestHandler {
  public:
    /// What the handler uses; all of it must outlive the handler.
    struct Services {
        const GatewaySettings &settings;
        LoopClock &clock;
        PolicyDriver &policy;
        RequestTable &requests;
        AttemptDispatcher &attempts;
        GatewayCounts &counts;
    };
    explicit RequestHandler(const Services &services) : use(services) {}

    /// A request that has been read whole.
    void onRequest(std::shared_ptr<DownstreamRequest> downstream);
    /// Fails all requests that are not answered yet and rejects what comes from now on.
    void failAll();
    /// Fails those whose deadline has passed: the first thing done about a process stall.
    void failOverdue(TimePoint now);

    void shed(const ShedRequest &decision);
    void fail(const FailRequest &decision);

  private:
    void accept(std::shared_ptr<DownstreamRequest> downstream, TimePoint arrivedAt);
    void onClientGone(RequestId id);
    void endUnsentAttempts(RequestId id);
    void wakeAfter(RequestContext &request, Duration delay);
    void onDeadline(RequestId id);
    bool endOverdueAttempts(RequestId id);
    void failWhere(const std::function<bool(const RequestContext &)> &isOverdue);

    Services use;
    bool rejectsAll = false;
    CallbackGuard guard;
};

}  // namespace deckcart
