// The HTTP listener that clients connect to: matches routes and reads the attributes of a request
// from its header fields.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

#include "../http/server.hpp"
#include "../settings/gateway_settings.hpp"
#include "transport.hpp"

namespace deckcart {

class HttpDownstream : public Downstream {
  public:
    /// The context and the settings must outlive this object. Throws std::system_error if it can't
    /// listen.
    HttpDownstream(asio::io_context &context, const asio::ip::tcp::endpoint &listen,
                   const GatewaySettings &settings, DownstreamHandler handler);

    asio::ip::tcp::endpoint address() const override { return listener.address(); }
    void applyLimits() override { listener.limit(settings.listener); }
    void drain(std::function<void()> done) override;
    std::size_t connections() const override { return listener.connections(); }

  private:
    void onExchange(std::shared_ptr<http::Exchange> exchange);
    RequestAttributes readAttributes(const http::RequestHead &head, std::size_t route) const;

    const GatewaySettings &settings;
    DownstreamHandler handler;
    http::Listener listener;
};

}  // namespace deckcart
