// Calls to instances over RESP2, one req at a time on a connection, within bounds for all of them together.
// Whom to call is not decided here.
#pragma once

#include <deque>

#include "../base/clock.hpp"
#include "../gateway/ways.hpp"
#include "../resp/client.hpp"
#include "directory.hpp"
#include "limits.hpp"

namespace deckcart::platform {

class RespCall;

class RespUpstreams : public Upstreams {
  public:
    RespUpstreams(asio::io_context &context, const Clock &clock, const Directory &directory,
                  const Bounds &bounds, const wire::BirthSettings &settings);
    ~RespUpstreams() override;

    std::shared_ptr<Call> take(const ServerId &server) override;
    void closeIdle(const ServerId &server) override;
    void sweep(Span now) override;
    void probe(const ServerId &server, Probed done) override;
    std::size_t connections() const { return open; }

  private:
    friend class RespCall;
    using Connection = std::shared_ptr<resp::ClientConnection>;
    struct Idle {
        Connection connection;
        Directory::Place place;
    };
    Connection connect(const ServerId &server, const Directory::Place &place);
    void give(const ServerId &server, const Directory::Place &place, const Connection &connection);
    void dropOldest();

    asio::io_context &context;
    const Clock &clock;
    const Directory &directory;
    Bounds bounds;
    const wire::BirthSettings &settings;
    std::map<ServerId, std::deque<Idle>> idle;  // the latest used last
    std::size_t open = 0;                       // busy and idle ones
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace deckcart::platform
