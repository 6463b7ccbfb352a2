#include "http_request.hpp"

#include <algorithm>
#include <utility>

#include "http_upstream.hpp"
#include "response_headers.hpp"

namespace deckcart {
namespace {

constexpr int kShedStatus = 503;
constexpr int kFailedStatus = 502;
constexpr int kTimedOutStatus = 504;
constexpr std::int64_t kMillisecondsPerSecond = 1000;

}  // namespace

// A callback may replace itself while it runs, so a copy of it is called.
HttpRequest::HttpRequest(std::shared_ptr<http::Exchange> httpExchange,
                         const GatewaySettings &gatewaySettings)
    : exchange(std::move(httpExchange)), settings(gatewaySettings) {
    exchange->onGone = [this] {
        if (const auto callback = onClientDisconnected)
            callback();
    };
    exchange->onDrained = [this] {
        if (const auto callback = onDrained)
            callback();
    };
}

HttpRequest::~HttpRequest() {
    exchange->onGone = nullptr;
    exchange->onDrained = nullptr;
}

void HttpRequest::respondShed(const std::string &requestId, Duration retryAfter) {
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter).count();
    const std::int64_t milliseconds = std::max<std::int64_t>(wait, 0);
    const std::int64_t seconds =  // rounded up, so that clients don't retry too early
        (milliseconds + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
    sendError(
        kShedStatus, "shed", requestId,
        {{"Retry-After", std::to_string(seconds)}, {kRetryHeader, std::to_string(milliseconds)}});
}

void HttpRequest::respondError(const std::string &requestId, bool late) {
    sendError(late ? kTimedOutStatus : kFailedStatus, "errored", requestId, {});
}

void HttpRequest::sendError(int status, const char *endReason, const std::string &requestId,
                            const std::vector<http::Header> &extraHeaders) {
    http::ResponseHead response;
    response.status = status;
    response.headers = {{kEndHeader, endReason},
                        {settings.headers.requestId, requestId},
                        {"Content-Type", "text/plain"}};
    response.headers.insert(response.headers.end(), extraHeaders.begin(), extraHeaders.end());
    exchange->answer(std::move(response), std::string(endReason) + "\n");
}

void HttpRequest::respond(UpstreamCall &upstreamCall, std::string_view responseBody) {
    const auto &call = static_cast<HttpCall &>(upstreamCall);
    http::ResponseHead responseHead = call.forwardedHead();
    if (head().method != "HEAD" || !call.contentLength())
        return exchange->answer(std::move(responseHead), responseBody);
    // The response to a HEAD request has a Content-Length but no body.
    responseHead.length = call.contentLength();
    exchange->begin(std::move(responseHead));
    exchange->end();
}

void HttpRequest::beginResponse(UpstreamCall &upstreamCall) {
    http::ResponseHead responseHead = static_cast<HttpCall &>(upstreamCall).forwardedHead();
    responseHead.chunked = !responseHead.length;
    exchange->begin(std::move(responseHead));
}

void HttpRequest::injectDuplicateResponse() {
    exchange->writeAfterEnd("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
}

}  // namespace deckcart
