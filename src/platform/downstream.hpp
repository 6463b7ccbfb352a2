// Accepts clients' commands over RESP2 and hands them to the gateway as requests; implements
// Downstream of gateway/transport.hpp. Created by PlatformTransport.
#pragma once

#include "../base/clock.hpp"
#include "../resp/server.hpp"
#include "commands.hpp"
#include "request_ids.hpp"
#include "resource_limits.hpp"

namespace deckcart::platform {

/// Listens once constructed, but accepts connections only after open(). Not thread-safe: all calls
/// are made on the io_context's thread.
class RespDownstream : public Downstream {
  public:
    /// @param clock,settings  must outlive this object
    /// @throws std::system_error if it cannot listen on the address
    RespDownstream(asio::io_context &context, const Clock &clock,
                   const asio::ip::tcp::endpoint &address, const ResourceLimits &limits,
                   const simulator::DeploymentSettings &settings, DownstreamHandler handler);

    /// Starts accepting, including connections already in the listen queue. Call once.
    void open() { listener.open(); }
    asio::ip::tcp::endpoint address() const override { return listener.address(); }
    void applyLimits() override {}  // the limits are fixed for the life of the process
    void drain(std::function<void()> ended) override { listener.drain(std::move(ended)); }
    std::size_t connections() const override { return listener.connections(); }
    /// See resp::Listener::borrowPlaces().
    void borrowSockets(resp::Listener::PlaceLender lender) {
        listener.borrowPlaces(std::move(lender));
    }
    resp::ListenerStatistics listenerStatistics() const { return listener.statistics(); }
    const RequestIdRegistry &knownRequestIds() const { return *requestIds; }

  private:
    void onCommand(const std::shared_ptr<resp::Exchange> &exchange);
    void onRequestCommand(const std::shared_ptr<resp::Exchange> &exchange);

    const Clock &clock;
    const simulator::DeploymentSettings &settings;
    DownstreamHandler handler;
    std::shared_ptr<RequestIdRegistry> requestIds;
    resp::Listener listener;
};

/// The command behind a request.
/// @param request  must have been created by a RespDownstream
const RequestCommand &commandOf(const DownstreamRequest &request);

}  // namespace deckcart::platform
