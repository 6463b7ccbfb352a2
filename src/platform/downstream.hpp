// Clients' commands as requests of the gateway: see gateway/transport.hpp.
#pragma once

#include "../base/clock.hpp"
#include "../resp/server.hpp"
#include "commands.hpp"
#include "request_ids.hpp"

namespace deckcart::platform {

class RespRequest;

class RespFront : public Front {
  public:
    RespFront(asio::io_context &context, const Clock &clock, const asio::ip::tcp::endpoint &at,
              const resp::DoorLimits &limits, const wire::DeploymentSettings &settings, FrontOwner owner);

    void open() { door.open(); }  // who has connected before waits until then
    asio::ip::tcp::endpoint address() const override { return door.address(); }
    void limit() override {}
    void drain(std::function<void()> ended) override { door.drain(std::move(ended)); }
    std::size_t connections() const override { return door.connections(); }

  private:
    void arrived(const std::shared_ptr<resp::Exchange> &exchange);

    const Clock &clock;
    const wire::DeploymentSettings &settings;
    FrontOwner owner;
    std::shared_ptr<OpenNames> names;
    resp::Door door;
};

// The client's command of a request that this front has taken.
const Command &commandOf(const DownstreamRequest &request);

}  // namespace deckcart::platform
