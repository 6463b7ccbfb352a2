// DNS messages as values (RFC 1035, 2782, 6891), by the registry's library. Names are in lower case
// with the final dot. Of record types only those that lead to a server are kept; others are passed
// over.
#pragma once

#include <asio/ip/address.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace deckcart::dns {

// Largest message taken over UDP, in bytes: goes unfragmented over every usual path (DNS flag day
// 2020).
constexpr std::uint16_t kUdpBytes = 1232;
// Most records of a reply: five times the largest site's 300 servers with two addresses each.
constexpr std::size_t kMostRecords = 4096;

enum class Type : std::uint16_t { a = 1, cname = 5, soa = 6, aaaa = 28, srv = 33 };
const char *nameOf(Type type);

struct Srv {
    std::uint16_t priority = 0, weight = 0, port = 0;
    std::string target;
    bool operator==(const Srv &) const = default;
};
struct Alias {
    std::string target;
    bool operator==(const Alias &) const = default;
};
struct ZoneStart {
    std::uint32_t negativeSeconds = 0;  // MINIMUM: bound of negative answers (RFC 2308, 4)
    bool operator==(const ZoneStart &) const = default;
};
using RecordData = std::variant<Srv, Alias, ZoneStart, asio::ip::address>;

struct Record {
    std::string owner;
    std::uint32_t seconds = 0;  // lifetime; one with the highest bit set is 0 (RFC 2181, 8)
    RecordData data;
    bool operator==(const Record &) const = default;
};

struct Question {
    std::string name;
    Type type = Type::srv;
    bool operator==(const Question &) const = default;
};

enum class Code : std::uint8_t {
    noError = 0,
    formErr = 1,
    servFail = 2,
    nxDomain = 3,
    notImp = 4,
    refused = 5
};

struct Message {
    std::uint16_t id = 0;
    bool reply = false, truncated = false, authoritative = false, recursionDesired = true;
    std::uint8_t code = 0;  // as Code; others as they are
    std::optional<Question> question;
    std::vector<Record> answers, authority, additional;
};

// Lower case with the final dot; empty if it is no host or service name: labels of 1 to 63 letters,
// digits, hyphens or underscores, 253 characters at most (RFC 1035, 2.3.4; RFC 2782 for the
// underscores).
std::string canonicalName(std::string_view name);
// Whether `name` is `zone` or below it.
bool within(const std::string &name, const std::string &zone);

// Throws std::invalid_argument for a name that can't be written. With EDNS (RFC 6891) it offers
// kUdpBytes.
std::vector<std::uint8_t> encode(const Message &message, bool edns = true);

struct Decoded {
    std::optional<Message> message;
    std::string fault;  // why there is none
};
// Any bytes: what is no message, has another class than IN, or is over a bound gives a fault.
Decoded decode(const std::uint8_t *bytes, std::size_t size);

}  // namespace deckcart::dns
