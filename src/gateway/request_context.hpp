// What the data path knows of a request in flight and of each attempt to have it served.
#pragma once

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "transport.hpp"

namespace deckcart {

/// One attempt of a request. Its number is its place in RequestContext::attempts.
struct AttemptContext {
    EndpointId endpoint;
    BuildNumber build = 0;
    std::shared_ptr<UpstreamCall> call;      ///< Empty where none could be started.
    std::unique_ptr<CallObserver> observer;  ///< Of the call; lives as long as the attempt.
    TimePoint sentAt{};
    TimePoint lastProgressAt{};  ///< When a part of the response came last.
    bool ended = false;
    bool streaming = false;  ///< The client is getting this one's response as it comes.
    Outcome outcome = Outcome::ok;
    std::string bufferedResponse;  ///< Not passed on yet.
};

/// A request from its acceptance until it is answered and no attempt of it is outstanding.
struct RequestContext {
    explicit RequestContext(asio::io_context &context) : deadlineTimer(context) {}

    RequestId id = 0;
    GatewayId record = 0;  ///< Of the policy.
    std::shared_ptr<DownstreamRequest> downstream;
    std::string clientRequestId;  ///< The client's own id of it, or one made here.
    TimePoint arrivedAt{};
    TimePoint clientDeadline{};  ///< When the client gives up.
    TimePoint policyDeadline{};  ///< What the policy works to: earlier by the answer margin.
    std::vector<AttemptContext> attempts;
    bool answered = false;                ///< Or abandoned by its client.
    std::optional<int> streamingAttempt;  ///< Whose response the client is getting.
    asio::steady_timer deadlineTimer;

    AttemptContext &attempt(int number) { return attempts[static_cast<std::size_t>(number)]; }
    bool isStreaming() const { return streamingAttempt.has_value(); }
    bool hasOutstandingAttempts() const {
        return std::ranges::any_of(attempts,
                                   [](const AttemptContext &attempt) { return !attempt.ended; });
    }
};

}  // namespace deckcart
