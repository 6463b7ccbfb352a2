// Clients' commands over RESP2 as requests of the gateway; implements Downstream of
// gateway/transport.hpp. Made by PlatformTransport.
#pragma once

#include "../base/clock.hpp"
#include "../resp/server.hpp"
#include "commands.hpp"
#include "request_ids.hpp"

namespace deckcart::platform {

/// Listens from its construction on; accepts from open() on. One thread, that of its io_context.
class RespDownstream : public Downstream {
  public:
    /// @param clock,settings  outlive this
    /// Throws std::system_error where it can't listen at the address.
    RespDownstream(asio::io_context &context, const Clock &clock,
                   const asio::ip::tcp::endpoint &address, const resp::ListenerLimits &limits,
                   const simulator::DeploymentSettings &settings, DownstreamHandler handler);

    /// Accepts connections, those among them that were made before. Call it once.
    void open() { listener.open(); }
    asio::ip::tcp::endpoint address() const override { return listener.address(); }
    void limit() override {}  // the limits stand for the life of the process
    void drain(std::function<void()> ended) override { listener.drain(std::move(ended)); }
    std::size_t connections() const override { return listener.connections(); }

  private:
    void onCommand(const std::shared_ptr<resp::Exchange> &exchange);
    void onRequestCommand(const std::shared_ptr<resp::Exchange> &exchange);

    const Clock &clock;
    const simulator::DeploymentSettings &settings;
    DownstreamHandler handler;
    std::shared_ptr<RequestIdRegistry> requestIds;
    resp::Listener listener;
};

/// The client's command of a request that a RespDownstream has handed on.
const Command &commandOf(const DownstreamRequest &request);

}  // namespace deckcart::platform
