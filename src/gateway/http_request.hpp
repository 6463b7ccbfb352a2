// A client's HTTP request as one of the gateway. Made by HttpDownstream.
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
    /// The settings must outlive the request. The exchange's callbacks are this request's while it
    /// exists.
    HttpRequest(std::shared_ptr<http::Exchange> exchange, const GatewaySettings &settings);
    ~HttpRequest() override;
    HttpRequest(const HttpRequest &) = delete;
    HttpRequest &operator=(const HttpRequest &) = delete;

    bool open() const override { return exchange->open(); }
    void shed(const std::string &name, Duration retryAfter) override;
    void errored(const std::string &name, bool late) override;
    void completed(UpstreamCall &from, std::string_view answer) override;
    void begin(UpstreamCall &from) override;
    void write(std::string_view part) override { exchange->write(part); }
    void end() override { exchange->end(); }
    void abort() override { exchange->abort(); }
    std::size_t waiting() const override { return exchange->waiting(); }
    void injectDuplicateResponse() override;

    const http::RequestHead &head() const { return exchange->head; }
    const std::string &body() const { return exchange->body; }

  private:
    void refuse(int status, const char *end, const std::string &name,
                const std::vector<http::Header> &more);

    const std::shared_ptr<http::Exchange> exchange;
    const GatewaySettings &settings;
};

}  // namespace deckcart
