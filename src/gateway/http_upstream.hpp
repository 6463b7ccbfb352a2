// The HTTP client side of a gateway: one call per attempt, over connections of an
// HttpConnectionPool. Whether an attempt may have run depends on whether bytes of it were handed
// to the socket.
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
    /// The settings and the pool that the connection was taken from must outlive the call.
    HttpCall(HttpConnectionPool &pool, const GatewaySettings &settings, EndpointId endpoint,
             std::shared_ptr<http::ClientConnection> connection);

    /// `request` must be an HttpRequest.
    void start(const DownstreamRequest &request, const std::string &requestId,
               PreSendCheck preSendCheck, BuildNumber build, CallObserver *observer) override;
    bool startedSending() const override { return connection->startedSending(); }
    void release(Duration now) override;
    void pause() override { connection->pause(); }
    void resume() override { connection->resume(); }

    /// The head of the endpoint's response as it is forwarded to the client.
    http::ResponseHead forwardedHead() const;
    /// Content-Length of the endpoint's response; empty if it has none.
    std::optional<std::uint64_t> contentLength() const { return head.length; }

  private:
    void onResponseHead(const http::ResponseHead &received) override { head = received; }
    void onResponseBody(std::string_view part) override;
    void onCallEnd(http::CallEnd callEnd) override;
    Outcome outcomeOf(http::CallEnd callEnd) const;

    HttpConnectionPool &pool;
    const GatewaySettings &settings;
    EndpointId endpoint;
    BuildNumber build = 0;
    std::shared_ptr<http::ClientConnection> connection;
    CallObserver *observer = nullptr;
    http::ResponseHead head;
};

class HttpUpstreamPool : public UpstreamPool {
  public:
    /// The context and the settings must outlive this object, and this object must outlive its
    /// calls.
    HttpUpstreamPool(asio::io_context &context, const GatewaySettings &settings);

    std::shared_ptr<UpstreamCall> createCall(const EndpointId &endpoint) override;
    void closeIdle(const EndpointId &endpoint) override { pool.closeIdle(endpoint); }
    void closeExpired(Duration now) override { pool.sweep(now); }
    void probe(const EndpointId &endpoint, ProbeCallback done) override;

  private:
    asio::io_context &context;
    const GatewaySettings &settings;
    HttpConnectionPool pool;
    http::Fetches probes;
};

}  // namespace deckcart
