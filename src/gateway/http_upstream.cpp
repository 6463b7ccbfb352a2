#include "http_upstream.hpp"

#include <utility>

#include "../base/address.hpp"
#include "http_request.hpp"
#include "load_report.hpp"
#include "response_headers.hpp"

namespace deckcart {
namespace {

constexpr int kFirstServerError = 500;
constexpr int kUnavailable = 503;
constexpr std::size_t kAddedHeaders = 3;  // the request id, the time that remains, Via

}  // namespace

HttpCall::HttpCall(Pool &connectionPool, const GatewaySettings &gatewaySettings, EndpointId target,
                   std::shared_ptr<http::ClientConnection> clientConnection)
    : pool(connectionPool), settings(gatewaySettings), endpoint(std::move(target)),
      connection(std::move(clientConnection)) {}

void HttpCall::start(const DownstreamRequest &request, const std::string &name,
                     PreSendCheck preSendCheck, BuildNumber buildOfEndpoint,
                     CallObserver *callObserver) {
    observer = callObserver;
    build = buildOfEndpoint;
    const auto &httpRequest = static_cast<const HttpRequest &>(request);
    const http::RequestHead &received = httpRequest.head();
    http::RequestHead sent;
    sent.method = received.method;
    sent.target = received.target;
    sent.headers.reserve(received.headers.size() + kAddedHeaders);
    for (const http::Header &header : received.headers) {
        const auto &[field, value] = header;
        if (http::travels(received, field) &&
            !http::equalFieldNames(field, settings.headers.remaining))
            sent.headers.push_back(header);
    }
    if (!received.find(settings.headers.requestId))
        sent.headers.emplace_back(settings.headers.requestId, name);
    // What is left of the client's wait, as it is now. None: the call ends while its connection is
    // made, by its time.
    const Duration left = preSendCheck().value_or(Duration{0});
    const auto leftMs = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
    sent.headers.emplace_back(settings.headers.remaining, std::to_string(leftMs));
    sent.headers.emplace_back("Via", "1.1 deckcart");
    if (!httpRequest.body().empty() || received.length || received.chunked)
        sent.length = httpRequest.body().size();
    connection->call(*parseAddress(endpoint), settings.upstream.connectWithin,
                     http::write(sent) + httpRequest.body(), received.method == "HEAD", this);
}

void HttpCall::release(Duration now) {
    if (!connection->reusable())
        connection->drop();
    pool.give(endpoint, connection, now);
}

http::ResponseHead HttpCall::forwardedHead() const {
    http::ResponseHead forwarded = head;
    std::erase_if(forwarded.headers, [&](const http::Header &header) {
        const auto &[field, value] = header;
        return !http::travels(head, field);
    });
    forwarded.headers.emplace_back(kEndHeader, "completed");
    forwarded.headers.emplace_back(kBuildHeader, std::to_string(build));
    return forwarded;
}

void HttpCall::onResponseBody(std::string_view part) {
    // An error's body goes nowhere: the request may still be done elsewhere.
    if (head.status < kFirstServerError)
        observer->onResponse(part);
}

void HttpCall::onCallEnd(http::CallEnd callEnd) {
    observer->onCallEnd(outcomeOf(callEnd));
}

Outcome HttpCall::outcomeOf(http::CallEnd callEnd) const {
    if (callEnd == http::CallEnd::complete) {
        if (head.status < kFirstServerError)
            return Outcome::ok;
        const bool overloaded = head.status == kUnavailable && head.find(settings.headers.full);
        return overloaded ? Outcome::overloaded : Outcome::error;
    }
    // An idle connection that closes as the request goes out has taken bytes of it: it may have
    // run.
    if (callEnd == http::CallEnd::connectFailed || !connection->startedSending())
        return Outcome::connectFailed;
    return callEnd == http::CallEnd::garbage ? Outcome::malformed : Outcome::reset;
}

HttpUpstreamPool::HttpUpstreamPool(asio::io_context &ioContext,
                                   const GatewaySettings &gatewaySettings)
    : context(ioContext), settings(gatewaySettings), pool(ioContext, gatewaySettings) {}

std::shared_ptr<UpstreamCall> HttpUpstreamPool::take(const EndpointId &endpoint) {
    if (!parseAddress(endpoint))
        return nullptr;
    auto connection = pool.take(endpoint);
    if (!connection)
        return nullptr;
    return std::make_shared<HttpCall>(pool, settings, endpoint, std::move(connection));
}

void HttpUpstreamPool::probe(const EndpointId &endpoint, ProbeCallback done) {
    const auto address = parseAddress(endpoint);
    if (!address)
        return done({});
    http::RequestHead head;
    head.method = "GET";
    head.target = settings.upstream.probePath;
    probes.add(
        http::Fetch::start(context, *address, head, {}, settings.upstream.probeWithin,
                           [this, done = std::move(done)](const http::Fetched &fetched) {
                               const std::string *report = fetched.head.find(settings.headers.load);
                               done(report ? parseLoadReport(*report) : std::vector<double>{});
                           }));
}

}  // namespace deckcart
