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
constexpr std::size_t kAddedHeaders = 3;  // request id, remaining time, Via

}  // namespace

HttpCall::HttpCall(HttpConnectionPool &connectionPool, const GatewaySettings &gatewaySettings,
                   EndpointId target, std::shared_ptr<http::ClientConnection> clientConnection)
    : pool(connectionPool), settings(gatewaySettings), endpoint(std::move(target)),
      connection(std::move(clientConnection)) {}

void HttpCall::start(const DownstreamRequest &request, const std::string &requestId,
                     PreSendCheck preSendCheck, BuildNumber buildOfEndpoint,
                     CallObserver *callObserver) {
    observer = callObserver;
    build = buildOfEndpoint;
    const auto &httpRequest = static_cast<const HttpRequest &>(request);
    const http::RequestHead &received = httpRequest.head();
    http::RequestHead forwarded;
    forwarded.method = received.method;
    forwarded.target = received.target;
    forwarded.headers.reserve(received.headers.size() + kAddedHeaders);
    for (const http::Header &header : received.headers) {
        const auto &[field, value] = header;
        if (http::travels(received, field) &&
            !http::equalFieldNames(field, settings.headers.remainingTime))
            forwarded.headers.push_back(header);
    }
    if (!received.find(settings.headers.requestId))
        forwarded.headers.emplace_back(settings.headers.requestId, requestId);
    // The time that the client still waits, as of now. If none is left, 0 is sent, and the
    // deadline timer ends the call while it is connecting.
    const Duration remaining = preSendCheck().value_or(Duration{0});
    const auto remainingMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    forwarded.headers.emplace_back(settings.headers.remainingTime, std::to_string(remainingMs));
    forwarded.headers.emplace_back("Via", "1.1 deckcart");
    if (!httpRequest.body().empty() || received.length || received.chunked)
        forwarded.length = httpRequest.body().size();
    connection->call(*parseAddress(endpoint), settings.upstream.connectTimeout,
                     http::write(forwarded) + httpRequest.body(), received.method == "HEAD", this);
}

void HttpCall::release(Duration now) {
    if (!connection->reusable())
        connection->drop();
    pool.giveBack(endpoint, connection, now);
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
    // The body of an error response is dropped, since the request may still be retried elsewhere.
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
        const bool overloaded =
            head.status == kUnavailable && head.find(settings.headers.overloaded);
        return overloaded ? Outcome::overloaded : Outcome::error;
    }
    // A reused connection that the endpoint closes while the request is being written has taken
    // some of its bytes, so the request may have run and the outcome is not connectFailed.
    if (callEnd == http::CallEnd::connectFailed || !connection->startedSending())
        return Outcome::connectFailed;
    return callEnd == http::CallEnd::malformed ? Outcome::malformed : Outcome::reset;
}

HttpUpstreamPool::HttpUpstreamPool(asio::io_context &ioContext,
                                   const GatewaySettings &gatewaySettings)
    : context(ioContext), settings(gatewaySettings), pool(ioContext, gatewaySettings) {}

std::shared_ptr<UpstreamCall> HttpUpstreamPool::createCall(const EndpointId &endpoint) {
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
        http::Fetch::start(context, *address, head, {}, settings.upstream.probeTimeout,
                           [this, done = std::move(done)](const http::Fetched &fetched) {
                               const std::string *report = fetched.head.find(settings.headers.load);
                               done(report ? parseLoadReport(*report) : std::vector<double>{});
                           }));
}

}  // namespace deckcart
