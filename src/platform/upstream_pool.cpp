#include "upstream_pool.hpp"

#include "downstream.hpp"
#include "timing.hpp"

namespace deckcart::platform {

class RespUpstreamPool::RespCall : public UpstreamCall {
  public:
    RespCall(RespUpstreamPool &owner, EndpointId target, Connection taken)
        : pool(owner), poolAlive(owner.callbacks.token()), endpoint(std::move(target)),
          connection(std::move(taken)) {}
    ~RespCall() override { RespCall::release({}); }
    RespCall(const RespCall &) = delete;
    RespCall &operator=(const RespCall &) = delete;

    void start(const DownstreamRequest &request, const std::string &, PreSendCheck preSendCheck,
               BuildNumber, CallObserver *observer) override {
        // What the attempt was decided for is what it goes to: an id may come back elsewhere, or as
        // another build.
        const auto bytesToSend = [this, &request, preSendCheck = std::move(preSendCheck)] {
            if (!pool.isPresent(endpoint, connection))
                return std::string{};
            const auto timeLeft = preSendCheck();
            return timeLeft ? forwardedCommand(commandOf(request), *timeLeft) : std::string{};
        };
        connection->call(connection->incarnation.address, pool.settings.connectWithin, bytesToSend,
                         [this, observer](CallEnd end, resp::Value reply) {
                             onCallEnd(end, std::move(reply), *observer);
                         });
    }
    bool startedSending() const override { return connection->startedSending(); }
    void look() override { connection->look(); }
    void release(Duration) override {
        if (std::exchange(released, true))
            return;
        if (poolAlive.expired())
            return connection->drop();
        pool.returnConnection(endpoint, connection);
    }

  private:
    void onCallEnd(CallEnd end, resp::Value reply, CallObserver &observer) {
        if (end != CallEnd::complete)
            return observer.onCallEnd(outcomeOfFailure(end));
        ParsedReply parsed = parseReply(std::move(reply));
        // What came is no answer of an endpoint: more may follow.
        if (parsed.outcome == Outcome::malformed)
            connection->drop();
        if (parsed.outcome == Outcome::ok)
            observer.onResponse(parsed.value);
        observer.onCallEnd(parsed.outcome);
    }
    // One that breaks off within its answer is as one that can't be read.
    Outcome outcomeOfFailure(CallEnd end) const {
        if (end == CallEnd::garbage || connection->answerBegun())
            return Outcome::malformed;
        return connection->startedSending() ? Outcome::reset : Outcome::connectFailed;
    }

    RespUpstreamPool &pool;
    std::weak_ptr<const bool> poolAlive;
    EndpointId endpoint;
    Connection connection;
    bool released = false;
};

RespUpstreamPool::RespUpstreamPool(asio::io_context &ioContext, const Clock &gatewayClock,
                                   const EndpointDirectory &endpointDirectory,
                                   const ResourceLimits &resourceLimits,
                                   const simulator::DeploymentSettings &deployment)
    : context(ioContext), clock(gatewayClock), directory(endpointDirectory), limits(resourceLimits),
      settings(deployment) {}

RespUpstreamPool::IdlePool::Use
RespUpstreamPool::useOf(EndpointConnection &connection,
                        const EndpointDirectory::Incarnation &present, TimePoint now) const {
    using Use = IdlePool::Use;
    if (!(connection.incarnation == present))
        return Use::none;
    if (now - connection.idleSince >= limits.upstreamIdleTimeout)
        return Use::none;  // its endpoint may be closing it
    if (now - connection.idleSince < limits.reuseDelay)
        return Use::waits;
    return connection.stillQuiet() ? Use::takes : Use::none;
}

RespUpstreamPool::Connection RespUpstreamPool::takeConnection(const EndpointId &endpoint) {
    const auto *present = directory.find(endpoint);
    if (!present)
        return nullptr;
    const TimePoint now = clock.now();
    auto connection = idle.take(
        endpoint, [&](EndpointConnection &candidate) { return useOf(candidate, *present, now); });
    if (!connection && connections() >= limits.upstreamConnections)
        idle.dropOldest();
    if (!connection && connections() >= limits.upstreamConnections)
        return nullptr;
    if (!connection)
        connection = std::make_shared<EndpointConnection>(context, replyLimits(limits), *present);
    ++connectionsInUse;
    return connection;
}

std::shared_ptr<UpstreamCall> RespUpstreamPool::take(const EndpointId &endpoint) {
    const auto connection = takeConnection(endpoint);
    return connection ? std::make_shared<RespCall>(*this, endpoint, connection) : nullptr;
}

bool RespUpstreamPool::isPresent(const EndpointId &endpoint, const Connection &connection) const {
    const auto *present = directory.find(endpoint);
    return present && *present == connection->incarnation;
}

void RespUpstreamPool::returnConnection(const EndpointId &endpoint, const Connection &connection) {
    --connectionsInUse;
    if (!connection->reusable() || !isPresent(endpoint, connection))
        return connection->drop();
    idle.keep(endpoint, connection, clock.now());
}

void RespUpstreamPool::probe(const EndpointId &endpoint, ProbeCallback done) {
    const auto connection = takeConnection(endpoint);
    if (!connection)
        return done({});
    const auto timer =
        std::make_shared<asio::steady_timer>(context, probeTimeout(settings.connectWithin));
    const auto finish = [this, endpoint, connection, timer, done = std::move(done),
                         poolAlive = callbacks.token()](std::vector<double> load) {
        timer->cancel();
        if (poolAlive.expired())
            return connection->drop();
        returnConnection(endpoint, connection);
        done(std::move(load));
    };
    const auto command = [] { return resp::command({"INFO", "load"}); };
    const auto onReply = [this, finish](CallEnd end, const resp::Value &reply) {
        const bool readable = end == CallEnd::complete && reply.kind == resp::Value::Kind::bulk;
        finish(readable ? parseLoadReport(reply.text, settings.loadFields) : std::vector<double>{});
    };
    connection->call(connection->incarnation.address, settings.connectWithin, command, onReply);
    const auto probeCall = connection->callNumber();
    timer->async_wait([finish, connection, probeCall](asio::error_code fault) {
        if (fault || connection->callNumber() != probeCall)
            return;
        connection->drop();
        finish({});
    });
}

}  // namespace deckcart::platform
