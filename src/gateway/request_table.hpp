// The requests in flight of a gateway: assigns their ids, gives their final answers and removes
// them. AttemptDispatcher manages their attempts.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

#include "policy_driver.hpp"
#include "request_log.hpp"

namespace deckcart {

class RequestTable {
  public:
    using Requests = std::unordered_map<RequestId, std::unique_ptr<RequestContext>>;

    /// The collaborators of the table; all must outlive it.
    struct Dependencies {
        asio::io_context &context;
        const GatewaySettings &settings;
        LoopClock &clock;
        PolicyDriver &policy;
        RequestLog &log;
        GatewayCounts &counts;
    };

    /// `onRequestFinished` is called after a request has been answered or removed. Request ids
    /// start at a number derived from the seed, so that they are not reused after a restart.
    RequestTable(const Dependencies &dependencies, std::uint64_t seed,
                 std::function<void()> onRequestFinished);

    /// Reserves a place for a request whose add() is deferred until a process stall has been
    /// handled.
    void reserve() { ++unanswered; }
    bool isFull() const { return unanswered >= deps.settings.maxRequestsInFlight; }
    bool allAnswered() const { return unanswered == 0; }

    /// Adds a request, for which a place has been reserved, to the policy's current generation.
    RequestContext &add(std::shared_ptr<DownstreamRequest> downstream, TimePoint arrivedAt);
    /// Returns null if the request has been removed.
    RequestContext *find(RequestId id);
    const Requests &all() const { return requests; }
    std::size_t size() const { return requests.size(); }

    /// Rejects a request; does nothing if it has already been answered. A streamed response is
    /// aborted instead, since its head has already been sent.
    void shed(RequestContext &request, Duration retryAfter);
    /// Like shed(), but responds with an error. `late`: the deadline has passed.
    void fail(RequestContext &request, bool late);
    /// Records that the complete response has been written.
    void markCompleted(RequestContext &request);
    /// Records that the client has disconnected.
    void markAbandoned(RequestContext &request);
    void logEnd(const RequestContext &request, const char *end);

    /// Removes the request if it has been answered and has no outstanding attempt. The reference
    /// may be invalid afterwards.
    void removeIfFinished(RequestContext &request);

    /// Releases all calls without notifying the policy or the clients. For the destruction of the
    /// gateway.
    void releaseAll();

  private:
    void markAnswered(RequestContext &request);

    Dependencies deps;
    std::function<void()> onRequestFinished;
    Requests requests;
    RequestId lastId;
    std::size_t unanswered = 0;  // including reserved places
};

}  // namespace deckcart
