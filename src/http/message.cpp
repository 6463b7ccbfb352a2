#include "message.hpp"

#include <algorithm>
#include <http_parser.h>

namespace deckcart::http {
namespace {

struct StatusReason {
    int status;
    std::string_view reason;
};
constexpr StatusReason kStatusReasons[] = {
#define DECKCART_REASON(number, name, words) {number, #words},
    HTTP_STATUS_MAP(DECKCART_REASON)
#undef DECKCART_REASON
};

char toLower(char letter) {
    return letter >= 'A' && letter <= 'Z' ? char(letter - 'A' + 'a') : letter;
}

std::string_view trim(std::string_view text) {
    constexpr std::string_view kWhitespace = " \t";
    const auto begin = text.find_first_not_of(kWhitespace);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(kWhitespace) - begin + 1);
}

// Whether a comma-separated list contains the name, ignoring case.
bool listContains(std::string_view list, std::string_view name) {
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        if (equalFieldNames(trim(list.substr(0, comma)), name))
            return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

void appendField(std::string &out, std::string_view name, std::string_view value) {
    out.append(name).append(": ").append(value).append("\r\n");
}

void appendFields(std::string &out, const Head &head, bool closeAfter) {
    for (const auto &[name, value] : head.headers)
        if (travels(head, name))
            appendField(out, name, value);
    if (head.chunked)
        appendField(out, "Transfer-Encoding", "chunked");
    else if (head.length)
        appendField(out, "Content-Length", std::to_string(*head.length));
    if (closeAfter)
        appendField(out, "Connection", "close");
    out += "\r\n";
}

}  // namespace

bool equalFieldNames(std::string_view left, std::string_view right) {
    return std::ranges::equal(left, right, {}, toLower, toLower);
}

const std::string *Head::find(std::string_view name) const {
    const auto found = std::ranges::find_if(
        headers, [&](const Header &header) { return equalFieldNames(header.first, name); });
    return found == headers.end() ? nullptr : &found->second;
}

std::string_view reasonOf(int status) {
    const auto *const found = std::ranges::find(kStatusReasons, status, &StatusReason::status);
    return found == std::end(kStatusReasons) ? "Unknown" : found->reason;
}

bool travels(const Head &head, std::string_view name) {
    for (const std::string_view hopByHop :
         {"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length",
          "TE", "Trailer", "Upgrade", "Expect"})
        if (equalFieldNames(hopByHop, name))
            return false;
    return std::ranges::none_of(head.headers, [&](const Header &header) {
        return equalFieldNames(header.first, "Connection") && listContains(header.second, name);
    });
}

std::string write(const RequestHead &head) {
    std::string out = head.method + " " + head.target + " HTTP/1.1\r\n";
    appendFields(out, head, !head.keepAlive);
    return out;
}

std::string write(const ResponseHead &head, bool closeAfter) {
    std::string out = "HTTP/1.1 " + std::to_string(head.status) + " ";
    out.append(head.reason.empty() ? reasonOf(head.status) : std::string_view(head.reason))
        .append("\r\n");
    appendFields(out, head, closeAfter);
    return out;
}

}  // namespace deckcart::http
