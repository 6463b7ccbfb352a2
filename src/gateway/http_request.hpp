// A client's HTTP request as a DownstreamRequest. Created by HttpDownstream.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "../http/server.hpp"
#include "../settings/gateway_settings.hpp"
#include "transport.hpp"

namespace deckcart {

class HttpRequest : public DownstreamRequest {
  public:
    /// The settings must outlive the request. Sets the callbacks of the exchange, and clears them
    /// on destruction.
    HttpRequest(std::shared_ptr<http::Exchange> exchange, const GatewaySettings &settings);
    ~HttpRequest() override;
    HttpRequest(const HttpRequest &) = delete;
    HttpRequest &operator=(const HttpRequest &) = delete;

    bool isOpen() const override { return exchange->open(); }
    PeerState clientState() const override { return exchange->peerState(); }
    void respondShed(const std::string &requestId, Duration retryAfter) override;
    void respondError(const std::string &requestId, bool late) override;
    void respond(UpstreamCall &upstreamCall, std::string_view responseBody) override;
    void beginResponse(UpstreamCall &upstreamCall) override;
    void write(std::string_view part) override { exchange->write(part); }
    void end() override { exchange->end(); }
    void abort() override { exchange->abort(); }
    std::size_t pendingBytes() const override { return exchange->waiting(); }
    void injectDuplicateResponse() override;

    const http::RequestHead &head() const { return exchange->head; }
    const std::string &body() const { return exchange->body; }

  private:
    void sendError(int status, const char *endReason, const std::string &requestId,
                   const std::vector<http::Header> &extraHeaders);

    const std::shared_ptr<http::Exchange> exchange;
    const GatewaySettings &settings;
};

}  // namespace deckcart
