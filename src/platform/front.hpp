// Clients' commands as reqs of the gateway: see gateway/ways.hpp.
#pragma once

#include <deque>
#include <unordered_set>

#include "../base/clock.hpp"
#include "../resp/server.hpp"
#include "commands.hpp"

namespace deckcart::platform {

class RespReq;

// Ids of reqs that are open, and of those that ended a short while ago: an id that comes again is another
// client's. Instances know them too and answer with errors, which would speak against a build.
class OpenNames {
  public:
    explicit OpenNames(Span keptFor) : kept(keptFor) {}
    bool open(const std::string &name, Span now);  // false: it is known
    void ended(const std::string &name, Span now);
    std::size_t size() const { return names.size(); }

  private:
    void forget(Span now);
    Span kept;
    std::unordered_set<std::string> names;
    std::deque<std::pair<Span, std::string>> over;
};

class RespFront : public Front {
  public:
    RespFront(asio::io_context &context, const Clock &clock, const asio::ip::tcp::endpoint &at,
              const resp::DoorLimits &limits, const wire::BirthSettings &settings, FrontOwner owner);

    asio::ip::tcp::endpoint address() const override { return door.address(); }
    void limit() override {}
    void drain() override { door.drain(); }
    std::size_t connections() const override { return door.connections(); }

  private:
    void arrived(const std::shared_ptr<resp::Exchange> &exchange);

    const Clock &clock;
    const wire::BirthSettings &settings;
    FrontOwner owner;
    std::shared_ptr<OpenNames> names;
    resp::Door door;
};

// The client's command of a req that this front has taken.
const Command &commandOf(const TakenReq &req);

}  // namespace deckcart::platform
