#include "upstream_pool.hpp"

#include "downstream.hpp"

namespace deckcart::platform {

class RespCall : public UpstreamCall {
  public:
    RespCall(RespUpstreamPool &of, std::weak_ptr<bool> here, EndpointId to,
             RespUpstreamPool::Connection over)
        : upstreams(of), alive(std::move(here)), endpoint(std::move(to)),
          connection(std::move(over)) {}
    ~RespCall() override { release({}); }

    void start(const DownstreamRequest &request, const std::string &, PreSendCheck preSendCheck,
               BuildNumber, CallObserver *owner) override {
        // What the try was decided for is what it goes to: an id may come back elsewhere, or as
        // another build.
        const auto bytes = [this, &request,
                            preSendCheck = std::move(preSendCheck)]() -> std::string {
            const auto *now = upstreams.directory.find(endpoint);
            if (!now || !(*now == connection->place))
                return {};
            const auto left = preSendCheck();
            return left ? instanceCommand(commandOf(request), *left) : std::string{};
        };
        connection->call(connection->place.address, upstreams.settings.connectWithin, bytes,
                         [this, owner](CallEnd outcome, resp::Value reply) {
                             // One that breaks off within its answer is as one that can't be read.
                             if (outcome != CallEnd::complete)
                                 return owner->onCallEnd(
                                     outcome == CallEnd::garbage || connection->answerBegun()
                                         ? Outcome::malformed
                                     : connection->startedSending() ? Outcome::reset
                                                                    : Outcome::connectFailed);
                             ReplyRead read = readReply(std::move(reply));
                             // What came is no answer of an instance: more may follow.
                             if (read.outcome == Outcome::malformed)
                                 connection->drop();
                             if (read.outcome == Outcome::ok)
                                 owner->onResponse(read.value);
                             owner->onCallEnd(read.outcome);
                         });
    }
    bool startedSending() const override { return connection->startedSending(); }
    void look() override { connection->look(); }
    void release(Duration) override {
        if (std::exchange(released, true))
            return;
        if (alive.expired())
            return connection->drop();
        upstreams.give(endpoint, connection);
    }

  private:
    RespUpstreamPool &upstreams;
    std::weak_ptr<bool> alive;
    EndpointId endpoint;
    RespUpstreamPool::Connection connection;
    bool released = false;
};

RespUpstreamPool::RespUpstreamPool(asio::io_context &io, const Clock &time, const Directory &where,
                                   const Bounds &most, const simulator::DeploymentSettings &with)
    : context(io), clock(time), directory(where), bounds(most), settings(with) {}

RespUpstreamPool::Connection RespUpstreamPool::connect(const EndpointId &endpoint) {
    using Use = IdleConnections<Placed>::Use;
    const auto *place = directory.find(endpoint);
    if (!place)
        return nullptr;
    const Duration now = clock.now(), rested = now - bounds.restFor;
    auto one = idle.take(endpoint, [&](Placed &kept) {
        if (!(kept.place == *place))
            return Use::none;  // of a former address, start or build
        if (now - kept.idleSince >= bounds.idleFor)
            return Use::none;  // its instance may be closing it
        if (kept.idleSince > rested)
            return Use::waits;
        return kept.stillQuiet() ? Use::takes : Use::none;
    });
    if (!one && connections() >= bounds.upstreams)
        idle.dropOldest();
    if (!one && connections() >= bounds.upstreams)
        return nullptr;
    if (!one)
        one = std::make_shared<Placed>(context, replyLimits(bounds), *place);
    ++busy;
    return one;
}

std::shared_ptr<UpstreamCall> RespUpstreamPool::take(const EndpointId &endpoint) {
    const auto connection = connect(endpoint);
    return connection ? std::make_shared<RespCall>(*this, alive, endpoint, connection) : nullptr;
}

void RespUpstreamPool::give(const EndpointId &endpoint, const Connection &connection) {
    --busy;
    const auto *now = directory.find(endpoint);
    if (!connection->reusable() || !now || !(*now == connection->place))
        return connection->drop();
    idle.keep(endpoint, connection, clock.now());
}

void RespUpstreamPool::probe(const EndpointId &endpoint, ProbeCallback done) {
    const auto connection = connect(endpoint);
    if (!connection)
        return done({});
    const auto timer =
        std::make_shared<asio::steady_timer>(context, probeWithin(settings.connectWithin));
    const auto finish = [this, endpoint, connection, timer, done,
                         here = std::weak_ptr(alive)](std::vector<double> load) {
        timer->cancel();
        if (here.expired())
            return connection->drop();
        give(endpoint, connection);
        done(std::move(load));
    };
    connection->call(
        connection->place.address, settings.connectWithin,
        [] {
            return resp::command({"INFO", "load"});
        },
        [this, finish, connection](CallEnd outcome, resp::Value reply) {
            const bool told = outcome == CallEnd::complete && reply.kind == resp::Value::Kind::bulk;
            finish(told ? readLoad(reply.text, settings.loadFields) : std::vector<double>{});
        });
    timer->async_wait([finish, connection, no = connection->callNumber()](asio::error_code fault) {
        if (fault || connection->callNumber() != no)
            return;
        connection->drop();
        finish({});
    });
}

}  // namespace deckcart::platform
