#include "downstream.hpp"

namespace deckcart::platform {

namespace {

class RespRequest : public DownstreamRequest {
  public:
    RespRequest(const Clock &gatewayClock, std::shared_ptr<resp::Exchange> commandExchange,
                ParsedCommand parsed, std::shared_ptr<RequestIdRegistry> ids)
        : command(std::move(parsed.command)), clock(gatewayClock),
          exchange(std::move(commandExchange)), requestIds(std::move(ids)) {
        attributes = std::move(parsed.attributes);
        exchange->onGone = [this] {
            releaseId();
            if (const auto notifyGateway = onClientDisconnected)
                notifyGateway();
        };
    }
    ~RespRequest() override {
        exchange->onGone = nullptr;
        releaseId();
    }
    RespRequest(const RespRequest &) = delete;
    RespRequest &operator=(const RespRequest &) = delete;

    bool isOpen() const override { return exchange->open(); }
    PeerState clientState() const override { return exchange->peerState(); }
    void onAttemptStart() override { forwarded = true; }
    void respondShed(const std::string &, Duration retryAfter) override {
        const auto retryAfterMs = retryAfter.count() / 1000;
        if (retryAfterMs > 0)
            answer(resp::error("BUSY " + std::to_string(retryAfterMs)));
        else
            answer(resp::error("BUSY"));
    }
    void respondError(const std::string &, bool) override { answer(resp::error("ERR failed")); }
    void respond(UpstreamCall &, std::string_view value) override { answer(resp::bulk(value)); }
    // Nothing is streamed: values are of bounded size and passed on whole by respond().
    void beginResponse(UpstreamCall &) override {}
    void write(std::string_view) override {}
    void end() override {}
    void abort() override { exchange->abort(); }
    std::size_t pendingBytes() const override { return 0; }

    const RequestCommand command;

  private:
    void answer(std::string bytes) {
        releaseId();
        exchange->answer(std::move(bytes));
    }
    void releaseId() {
        if (!std::exchange(idReleased, true))
            requestIds->markEnded(attributes.requestId, forwarded, clock.now());
    }

    const Clock &clock;
    std::shared_ptr<resp::Exchange> exchange;
    std::shared_ptr<RequestIdRegistry> requestIds;
    bool forwarded = false;  // an endpoint may have seen the id
    bool idReleased = false;
};

}  // namespace

const RequestCommand &commandOf(const DownstreamRequest &request) {
    return static_cast<const RespRequest &>(request).command;
}

RespDownstream::RespDownstream(asio::io_context &context, const Clock &gatewayClock,
                               const asio::ip::tcp::endpoint &address, const ResourceLimits &limits,
                               const simulator::DeploymentSettings &deployment,
                               DownstreamHandler gatewayHandler)
    : clock(gatewayClock), settings(deployment), handler(std::move(gatewayHandler)),
      requestIds(
          std::make_shared<RequestIdRegistry>(deployment.longestTimeout(), limits.endedRequestIds)),
      listener(context, address, listenerLimits(limits),
               [this](const std::shared_ptr<resp::Exchange> &exchange) { onCommand(exchange); }) {}

void RespDownstream::onCommand(const std::shared_ptr<resp::Exchange> &exchange) {
    const auto &arguments = exchange->args;
    if (isRequestCommand(arguments))
        return onRequestCommand(exchange);
    if (arguments[0] == "PING" && arguments.size() == 1)
        return exchange->answer("+PONG\r\n");
    if (arguments[0] == "CLIENT" || arguments[0] == "SELECT")
        return exchange->answer("+OK\r\n");
    exchange->refuse("ERR unknown command");
}

void RespDownstream::onRequestCommand(const std::shared_ptr<resp::Exchange> &exchange) {
    ParsedCommand parsed = parseCommand(std::move(exchange->args), settings);
    if (parsed.error.empty() && !requestIds->add(parsed.attributes.requestId, clock.now()))
        parsed.error = "ERR the id is of another request";
    if (!parsed.error.empty()) {
        handler.onUnrouted();
        return exchange->refuse(parsed.error);
    }
    handler.onRequest(
        std::make_shared<RespRequest>(clock, exchange, std::move(parsed), requestIds));
}

}  // namespace deckcart::platform
