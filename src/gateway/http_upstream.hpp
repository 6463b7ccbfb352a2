// The HTTP side of a gateway that calls endpoints: one call an attempt, over connections of a Pool.
// Whether an attempt may have run is told by the bytes that were handed to its socket.
#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <optional>

#include "../http/client.hpp"
#include "../http/fetch.hpp"
#include "../settings/gateway_settings.hpp"
#include "pool.hpp"
#include "transport.hpp"

namespace deckcart {

class HttpCall : public UpstreamCall, private http::CallHandler {
  public:
    /// The pool, which the connection was taken from, and the settings must outlive the call.
    HttpCall(Pool &pool, const GatewaySettings &settings, EndpointId endpoint,
             std::shared_ptr<http::ClientConnection> connection);

    /// The request must be an HttpRequest.
    void start(const DownstreamRequest &request, const std::string &name, PreSendCheck preSendCheck,
               BuildNumber build, CallObserver *observer) override;
    bool startedSending() const override { return connection->startedSending(); }
    void release(Duration now) override;
    void pause() override { connection->pause(); }
    void resume() override { connection->resume(); }

    /// The head of the endpoint's response as the client gets it.
    http::ResponseHead forwardedHead() const;
    /// Of the response's body, where the endpoint states it.
    std::optional<std::uint64_t> length() const { return head.length; }

  private:
    void onResponseHead(const http::ResponseHead &received) override { head = received; }
    void onResponseBody(std::string_view part) override;
    void onCallEnd(http::CallEnd callEnd) override;
    Outcome outcomeOf(http::CallEnd callEnd) const;

    Pool &pool;
    const GatewaySettings &settings;
    EndpointId endpoint;
    BuildNumber build = 0;
    std::shared_ptr<http::ClientConnection> connection;
    CallObserver *observer = nullptr;
    http::ResponseHead head;
};

class HttpUpstreamPool : public UpstreamPool {
  public:
    /// The context and the settings must outlive this object, and this object its calls.
    HttpUpstreamPool(asio::io_context &context, const GatewaySettings &settings);

    std::shared_ptr<UpstreamCall> take(const EndpointId &endpoint) override;
    void closeIdle(const EndpointId &endpoint) override { pool.closeIdle(endpoint); }
    void sweep(Duration now) override { pool.sweep(now); }
    void probe(const EndpointId &endpoint, ProbeCallback done) override;

  private:
    asio::io_context &context;
    const GatewaySettings &settings;
    Pool pool;
    http::Fetches probes;
};

}  // namespace deckcart
