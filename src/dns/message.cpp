#include "message.hpp"

namespace deckcart::dns {
namespace {

// Includes the final dot, which the limit of 253 characters does not count.
constexpr std::size_t kMaxNameBytes = 254;

bool isNameCharacter(char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
}

}  // namespace

const char *nameOf(RecordType type) {
    switch (type) {
    case RecordType::a:
        return "A";
    case RecordType::cname:
        return "CNAME";
    case RecordType::soa:
        return "SOA";
    case RecordType::aaaa:
        return "AAAA";
    case RecordType::srv:
        return "SRV";
    }
    return "?";
}

std::string canonicalName(std::string_view name) {
    if (name == ".")
        return ".";
    std::string canonical;
    std::size_t labelBytes = 0;
    for (const char c : name) {
        const char lower = c >= 'A' && c <= 'Z' ? char(c - 'A' + 'a') : c;
        if (lower == '.') {
            if (labelBytes == 0)
                return {};
            labelBytes = 0;
        } else if (!isNameCharacter(lower) || ++labelBytes > kMaxLabelBytes) {
            return {};
        }
        canonical += lower;
    }
    if (canonical.empty())
        return {};
    if (canonical.back() != '.')
        canonical += '.';
    return canonical.size() <= kMaxNameBytes ? canonical : std::string{};
}

bool within(const std::string &name, const std::string &zone) {
    if (zone == ".")
        return true;
    if (!name.ends_with(zone))
        return false;
    return name.size() == zone.size() || name[name.size() - zone.size() - 1] == '.';
}

}  // namespace deckcart::dns
