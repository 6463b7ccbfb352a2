// Clients' commands as requests of the gateway: see gateway/transport.hpp.
#pragma once

#include "../base/clock.hpp"
#include "../resp/server.hpp"
#include "commands.hpp"
#include "request_ids.hpp"

namespace deckcart::platform {

class RespRequest;

class RespDownstream : public Downstream {
  public:
    RespDownstream(asio::io_context &context, const Clock &clock, const asio::ip::tcp::endpoint &at,
                   const resp::ListenerLimits &limits,
                   const simulator::DeploymentSettings &settings, DownstreamHandler owner);

    void open() { listener.open(); }  // who has connected before waits until then
    asio::ip::tcp::endpoint address() const override { return listener.address(); }
    void limit() override {}
    void drain(std::function<void()> ended) override { listener.drain(std::move(ended)); }
    std::size_t connections() const override { return listener.connections(); }

  private:
    void arrived(const std::shared_ptr<resp::Exchange> &exchange);

    const Clock &clock;
    const simulator::DeploymentSettings &settings;
    DownstreamHandler owner;
    std::shared_ptr<OpenNames> names;
    resp::Listener listener;
};

// The client's command of a request that this front has taken.
const Command &commandOf(const DownstreamRequest &request);

}  // namespace deckcart::platform
