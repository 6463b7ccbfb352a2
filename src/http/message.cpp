#include "message.hpp"

#include <algorithm>
#include <http_parser.h>

namespace deckcart::http {
namespace {

char lower(char c) {
    return c >= 'A' && c <= 'Z' ? char(c - 'A' + 'a') : c;
}

void add(std::string &out, std::string_view name, std::string_view value) {
    out.append(name).append(": ").append(value).append("\r\n");
}

void addRest(std::string &out, const Head &head, bool closes) {
    for (const auto &[name, value] : head.headers)
        if (travels(head, name))
            add(out, name, value);
    if (head.chunked)
        add(out, "Transfer-Encoding", "chunked");
    else if (head.length)
        add(out, "Content-Length", std::to_string(*head.length));
    if (closes)
        add(out, "Connection", "close");
    out += "\r\n";
}

}  // namespace

bool sameName(std::string_view a, std::string_view b) {
    return a.size() == b.size() &&
           std::ranges::equal(a, b, [](char x, char y) { return lower(x) == lower(y); });
}

const std::string *Head::find(std::string_view name) const {
    const auto it =
        std::ranges::find_if(headers, [&](const Header &h) { return sameName(h.first, name); });
    return it == headers.end() ? nullptr : &it->second;
}

std::string_view reasonOf(int status) {
    switch (status) {
#define DECKCART_REASON(number, name, words)                                                       \
    case number:                                                                                   \
        return #words;
        HTTP_STATUS_MAP(DECKCART_REASON)
#undef DECKCART_REASON
    default:
        return "Unknown";
    }
}

bool travels(const Head &head, std::string_view name) {
    for (const std::string_view own :
         {"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length",
          "TE", "Trailer", "Upgrade", "Expect"})
        if (sameName(own, name))
            return false;
    for (const auto &[field, value] : head.headers) {
        if (!sameName(field, "Connection"))
            continue;
        std::string_view rest = value;
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            std::string_view word = rest.substr(0, comma);
            while (!word.empty() && (word.front() == ' ' || word.front() == '\t'))
                word.remove_prefix(1);
            while (!word.empty() && (word.back() == ' ' || word.back() == '\t'))
                word.remove_suffix(1);
            if (sameName(word, name))
                return false;
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return true;
}

std::string write(const RequestHead &head) {
    std::string out = head.method + " " + head.target + " HTTP/1.1\r\n";
    addRest(out, head, !head.keepAlive);
    return out;
}

std::string write(const ResponseHead &head, bool closes) {
    std::string out = "HTTP/1.1 " + std::to_string(head.status) + " ";
    out.append(head.reason.empty() ? reasonOf(head.status) : std::string_view(head.reason))
        .append("\r\n");
    addRest(out, head, closes);
    return out;
}

}  // namespace deckcart::http
