#include "upstream_pool.hpp"

#include "downstream.hpp"
#include "timing.hpp"

namespace deckcart::platform {

class RespUpstreamPool::RespCall : public UpstreamCall {
  public:
    RespCall(RespUpstreamPool &ownerPool, EndpointId endpointId, Connection pooledConnection)
        : pool(ownerPool), poolAlive(ownerPool.callbacks.token()), endpoint(std::move(endpointId)),
          connection(std::move(pooledConnection)) {}
    ~RespCall() override { RespCall::release({}); }
    RespCall(const RespCall &) = delete;
    RespCall &operator=(const RespCall &) = delete;

    void start(const DownstreamRequest &request, const std::string &, PreSendCheck preSendCheck,
               BuildNumber, CallObserver *observer) override {
        // While the connection was being set up, the endpoint id may have moved to another address
        // or build. The attempt was meant for the earlier incarnation and is not sent.
        const auto bytesToSend = [this, &request, preSendCheck = std::move(preSendCheck)] {
            if (!pool.isCurrent(endpoint, connection))
                return std::string{};
            const auto timeLeft = preSendCheck();
            return timeLeft ? forwardedCommand(commandOf(request), *timeLeft) : std::string{};
        };
        connection->call(connection->incarnation.address, pool.settings.connectTimeout, bytesToSend,
                         [this, observer](CallEnd end, resp::Value reply) {
                             onCallEnd(end, std::move(reply), *observer);
                         });
    }
    bool startedSending() const override { return connection->startedSending(); }
    void processPendingInput() override { connection->look(); }
    void release(Duration) override {
        if (std::exchange(released, true))
            return;
        if (poolAlive.expired())
            return connection->drop();
        pool.releaseConnection(endpoint, connection);
    }

  private:
    void onCallEnd(CallEnd end, resp::Value reply, CallObserver &observer) {
        if (end != CallEnd::complete)
            return observer.onCallEnd(outcomeOfFailure(end));
        ParsedReply parsed = parseReply(std::move(reply));
        // After a malformed reply more unexpected bytes may follow, so the connection is not
        // reused.
        if (parsed.outcome == Outcome::malformed)
            connection->drop();
        if (parsed.outcome == Outcome::ok)
            observer.onResponse(parsed.value);
        observer.onCallEnd(parsed.outcome);
    }
    // A reply that breaks off counts as malformed.
    Outcome outcomeOfFailure(CallEnd end) const {
        if (end == CallEnd::malformed || connection->answerBegun())
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
                                   const simulator::DeploymentSettings &deploymentSettings)
    : context(ioContext), clock(gatewayClock), directory(endpointDirectory), limits(resourceLimits),
      settings(deploymentSettings) {}

RespUpstreamPool::IdlePool::Decision
RespUpstreamPool::reuseDecision(EndpointConnection &connection,
                                const EndpointDirectory::Incarnation &current,
                                TimePoint now) const {
    using Decision = IdlePool::Decision;
    if (!(connection.incarnation == current))
        return Decision::drop;
    if (now - connection.idleSince >= limits.upstreamIdleTimeout)
        return Decision::drop;  // the endpoint may be closing it
    if (now - connection.idleSince < limits.reuseDelay)
        return Decision::skip;
    return connection.stillQuiet() ? Decision::take : Decision::drop;
}

RespUpstreamPool::Connection RespUpstreamPool::acquireConnection(const EndpointId &endpoint) {
    const auto *current = directory.find(endpoint);
    if (!current)
        return nullptr;
    const TimePoint now = clock.now();
    auto connection = idle.take(endpoint, [&](EndpointConnection &candidate) {
        return reuseDecision(candidate, *current, now);
    });
    if (!connection && !reduceBelow(connectionLimit()))
        return nullptr;
    if (!connection)
        connection = std::make_shared<EndpointConnection>(context, replyLimits(limits), *current);
    ++connectionsInUse;
    return connection;
}

bool RespUpstreamPool::reduceBelow(std::size_t limit) {
    while (connections() >= limit && idle.size() > 0)
        idle.dropOldest();
    return connections() < limit;
}

std::size_t RespUpstreamPool::connectionLimit() const {
    return upstreamConnectionLimit(limits, clientCount());
}

bool RespUpstreamPool::lendSocket() {
    const std::size_t clients = clientCount();
    if (clients >= clientConnectionLimit(limits, connectionsInUse))
        return false;
    const std::size_t remaining = upstreamConnectionLimit(limits, clients + 1);
    return reduceBelow(remaining + 1);
}

std::shared_ptr<UpstreamCall> RespUpstreamPool::createCall(const EndpointId &endpoint) {
    const auto connection = acquireConnection(endpoint);
    return connection ? std::make_shared<RespCall>(*this, endpoint, connection) : nullptr;
}

bool RespUpstreamPool::isCurrent(const EndpointId &endpoint, const Connection &connection) const {
    const auto *current = directory.find(endpoint);
    return current && *current == connection->incarnation;
}

void RespUpstreamPool::releaseConnection(const EndpointId &endpoint, const Connection &connection) {
    --connectionsInUse;
    if (!connection->reusable() || !isCurrent(endpoint, connection))
        return connection->drop();
    idle.keep(endpoint, connection, clock.now());
}

void RespUpstreamPool::probe(const EndpointId &endpoint, ProbeCallback done) {
    const auto connection = acquireConnection(endpoint);
    if (!connection)
        return done({});
    const auto timer =
        std::make_shared<asio::steady_timer>(context, probeTimeout(settings.connectTimeout));
    const auto finish = [this, endpoint, connection, timer, done = std::move(done),
                         poolAlive = callbacks.token()](std::vector<double> load) {
        timer->cancel();
        if (poolAlive.expired())
            return connection->drop();
        releaseConnection(endpoint, connection);
        done(std::move(load));
    };
    const auto command = [] { return resp::command({"INFO", "load"}); };
    const auto onReply = [this, finish](CallEnd end, const resp::Value &reply) {
        const bool wellFormed = end == CallEnd::complete && reply.kind == resp::Value::Kind::bulk;
        finish(wellFormed ? parseLoadReport(reply.text, settings.loadFields)
                          : std::vector<double>{});
    };
    connection->call(connection->incarnation.address, settings.connectTimeout, command, onReply);
    const auto probeCall = connection->callNumber();
    timer->async_wait([finish, connection, probeCall](asio::error_code error) {
        if (error || connection->callNumber() != probeCall)
            return;
        connection->drop();
        finish({});
    });
}

}  // namespace deckcart::platform
