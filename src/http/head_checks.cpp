#include "head_checks.hpp"

#include <algorithm>

namespace deckcart::http {
namespace {

// Stricter than http_parser, which tolerates white space between the digits.
bool isContentLength(std::string_view text) {
    return !text.empty() &&
           std::ranges::all_of(text, [](char byte) { return byte >= '0' && byte <= '9'; });
}

}  // namespace

Fault checkFraming(Head &head, ProtocolVersion version, MessageKind kind) {
    int transferEncodings = 0;
    int contentLengths = 0;
    bool contentLengthsValid = true;
    for (const auto &[name, value] : head.headers) {
        if (equalFieldNames(name, "Transfer-Encoding")) {
            ++transferEncodings;
            head.chunked = equalFieldNames(value, "chunked");
        }
        if (equalFieldNames(name, "Content-Length")) {
            ++contentLengths;
            contentLengthsValid = contentLengthsValid && isContentLength(value);
        }
    }
    if (!contentLengthsValid || transferEncodings + contentLengths > 1 || version.major != 1)
        return Fault::malformed;
    // HTTP/1.0 has no chunked coding (RFC 9112, 6.1), so the framing of such a message is faulty.
    if (transferEncodings > 0 && version.minor < 1)
        return Fault::malformed;
    // Only the coding "chunked" alone is supported: with any other, recipients may disagree on
    // where the body ends.
    if (transferEncodings > 0 && !head.chunked)
        return kind == MessageKind::request ? Fault::unsupported : Fault::malformed;
    return Fault::none;
}

Fault checkRequest(RequestHead &head, ProtocolVersion version) {
    const std::string *expect = head.find("Expect");
    head.expectsContinue = expect && equalFieldNames(*expect, "100-continue");
    const auto hosts = std::ranges::count_if(
        head.headers, [](const Header &header) { return equalFieldNames(header.first, "Host"); });
    if (hosts > 1 || (hosts == 0 && version.minor >= 1))
        return Fault::malformed;
    if (expect && !head.expectsContinue)
        return Fault::unsupported;
    return Fault::none;
}

bool statusAllowsBody(int status) {
    constexpr int kFirstFinal = 200;
    constexpr int kNoContent = 204;
    constexpr int kNotModified = 304;
    return status >= kFirstFinal && status != kNoContent && status != kNotModified;
}

}  // namespace deckcart::http
