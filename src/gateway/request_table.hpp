// The requests in flight of a gateway: their numbers, their final answers to the client, their
// removal. What happens to their attempts is AttemptDispatcher's job.
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

    /// What the table uses; all of it must outlive the table.
    struct Services {
        asio::io_context &context;
        const GatewaySettings &settings;
        LoopClock &clock;
        PolicyDriver &policy;
        RequestLog &log;
        GatewayCounts &counts;
    };

    /// `onFewer` is called after a request has been answered or removed. Request ids begin at a
    /// number that is drawn from the seed, so that restarts do not use the same ones.
    RequestTable(const Services &services, std::uint64_t seed, std::function<void()> onFewer);

    /// Counts a request as in flight that add() will take as soon as a stall has been handled.
    void reserve() { ++unanswered; }
    bool isFull() const { return unanswered >= use.settings.maxRequestsInFlight; }
    bool allAnswered() const { return unanswered == 0; }

    /// Takes a reserved request as one of the policy's current record.
    RequestContext &add(std::shared_ptr<DownstreamRequest> downstream, TimePoint arrivedAt);
    /// Null once it has been removed.
    RequestContext *find(RequestId id);
    const Requests &all() const { return requests; }
    std::size_t size() const { return requests.size(); }

    /// Answers a request with a rejection; nothing where it has been answered already. A response
    /// that is being streamed is cut instead: that is all that tells the client.
    void shed(RequestContext &request, Duration retryAfter);
    /// The same with an error. `late`: its time has run out.
    void fail(RequestContext &request, bool late);
    /// Notes that the whole of a response has been written.
    void markCompleted(RequestContext &request);
    /// Notes that the client has left.
    void markAbandoned(RequestContext &request);
    void logEnd(const RequestContext &request, const char *end);

    /// Removes a request that has been answered and has no attempt outstanding; else does nothing.
    /// The reference is void afterwards.
    void removeIfOver(RequestContext &request);

    /// Ends all calls without a word to anyone: for the destruction of the gateway.
    void releaseAll();

  private:
    void markAnswered(RequestContext &request);

    Services use;
    std::function<void()> onFewer;
    Requests requests;
    RequestId lastId;
    std::size_t unanswered = 0;  // reserved ones too
};

}  // namespace deckcart
