#include "head_checks.hpp"

#include <algorithm>

namespace deckcart::http {
namespace {

// http_parser checks the digits too, but takes white space between them.
bool isLength(std::string_view text) {
    return !text.empty() &&
           std::ranges::all_of(text, [](char byte) { return byte >= '0' && byte <= '9'; });
}

}  // namespace

Fault checkFraming(Head &head, ProtocolVersion version, MessageKind kind) {
    int codings = 0;
    int lengths = 0;
    bool lengthsReadable = true;
    for (const auto &[name, value] : head.headers) {
        if (equalFieldNames(name, "Transfer-Encoding")) {
            ++codings;
            head.chunked = equalFieldNames(value, "chunked");
        }
        if (equalFieldNames(name, "Content-Length")) {
            ++lengths;
            lengthsReadable = lengthsReadable && isLength(value);
        }
    }
    if (!lengthsReadable || codings + lengths > 1 || version.major != 1)
        return Fault::malformed;
    // Chunks came with HTTP/1.1; from an older peer they were not meant by it.
    if (codings > 0 && version.minor < 1)
        return Fault::malformed;
    // Any coding but chunked alone is refused: what follows would be read in two ways.
    if (codings > 0 && !head.chunked)
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
