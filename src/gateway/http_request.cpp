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
constexpr std::int64_t kMillisecondsASecond = 1000;

}  // namespace

// A callback may replace itself while it runs: so a copy is called.
HttpRequest::HttpRequest(std::shared_ptr<http::Exchange> httpExchange,
                         const GatewaySettings &gatewaySettings)
    : exchange(std::move(httpExchange)), settings(gatewaySettings) {
    exchange->onGone = [this] {
        if (const auto callback = onGone)
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

void HttpRequest::shed(const std::string &name, Duration retryAfter) {
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter).count();
    const std::int64_t milliseconds = std::max<std::int64_t>(wait, 0);
    const std::int64_t seconds =  // rounded up: no client comes back too early
        (milliseconds + kMillisecondsASecond - 1) / kMillisecondsASecond;
    refuse(
        kShedStatus, "shed", name,
        {{"Retry-After", std::to_string(seconds)}, {kRetryHeader, std::to_string(milliseconds)}});
}

void HttpRequest::errored(const std::string &name, bool late) {
    refuse(late ? kTimedOutStatus : kFailedStatus, "errored", name, {});
}

void HttpRequest::refuse(int status, const char *end, const std::string &name,
                         const std::vector<http::Header> &more) {
    http::ResponseHead answer;
    answer.status = status;
    answer.headers = {
        {kEndHeader, end}, {settings.headers.requestId, name}, {"Content-Type", "text/plain"}};
    answer.headers.insert(answer.headers.end(), more.begin(), more.end());
    exchange->answer(std::move(answer), std::string(end) + "\n");
}

void HttpRequest::completed(UpstreamCall &from, std::string_view answer) {
    const auto &call = static_cast<HttpCall &>(from);
    http::ResponseHead responseHead = call.forwardedHead();
    if (head().method != "HEAD" || !call.length())
        return exchange->answer(std::move(responseHead), answer);
    // An answer to HEAD states the length of the body that it does not have.
    responseHead.length = call.length();
    exchange->begin(std::move(responseHead));
    exchange->end();
}

void HttpRequest::begin(UpstreamCall &from) {
    http::ResponseHead responseHead = static_cast<HttpCall &>(from).forwardedHead();
    responseHead.chunked = !responseHead.length;
    exchange->begin(std::move(responseHead));
}

void HttpRequest::injectDuplicateResponse() {
    exchange->writeAfterEnd("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
}

}  // namespace deckcart
