// DNS messages as values, read and written by ldns: RFC 1035, 2782 (SRV), 6891 (EDNS). Called by
// the resolver, the lookup and the fake name server. Names are in lower case with the final dot. Of
// record types only those that lead to a server are kept; others are passed over. Pure.
#pragma once

#include <asio/ip/address.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace deckcart::dns {

/// Largest message taken over UDP, in bytes: goes unfragmented over every usual path (DNS flag day
/// 2020).
constexpr std::uint16_t kUdpBytes = 1232;
/// Most records of a reply: five times the largest site's 300 servers with two addresses each.
constexpr std::size_t kMostRecords = 4096;

/// Record types that are read (RFC 1035, 3.2.2; RFC 3596; RFC 2782).
enum class Type : std::uint16_t { a = 1, cname = 5, soa = 6, aaaa = 28, srv = 33 };
[[nodiscard]] const char *nameOf(Type type);

/// Data of an SRV record (RFC 2782).
struct Srv {
    std::uint16_t priority = 0;
    std::uint16_t weight = 0;
    std::uint16_t port = 0;
    std::string target;
    bool operator==(const Srv &) const = default;
};

/// Data of a CNAME record (RFC 1035, 3.3.1).
struct Alias {
    std::string target;
    bool operator==(const Alias &) const = default;
};

/// What is used of an SOA record (RFC 1035, 3.3.13).
struct Soa {
    /// MINIMUM: bound of the lifetime of negative answers (RFC 2308, 4).
    std::uint32_t negativeSeconds = 0;
    bool operator==(const Soa &) const = default;
};

using RecordData = std::variant<Srv, Alias, Soa, asio::ip::address>;

struct Record {
    std::string owner;
    /// Lifetime (TTL); one with the highest bit set is 0 (RFC 2181, 8).
    std::uint32_t seconds = 0;
    RecordData data;
    bool operator==(const Record &) const = default;
};

struct Question {
    std::string name;
    Type type = Type::srv;
    bool operator==(const Question &) const = default;
};

/// Response codes (RFC 1035, 4.1.1).
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
    bool reply = false;
    bool truncated = false;
    bool authoritative = false;
    bool recursionDesired = true;
    /// As Code; others as they are.
    std::uint8_t code = 0;
    std::optional<Question> question;
    std::vector<Record> answers;
    std::vector<Record> authority;
    std::vector<Record> additional;
};

/// Lower case with the final dot; empty if it is no host or service name: labels of 1 to 63
/// letters, digits, hyphens or underscores, 253 characters at most (RFC 1035, 2.3.4; RFC 2782 for
/// the underscores).
[[nodiscard]] std::string canonicalName(std::string_view name);
/// Longest label of a name (RFC 1035, 2.3.4).
constexpr std::size_t kMostLabelBytes = 63;
/// Whether `name` is `zone` or below it; both canonical.
[[nodiscard]] bool within(const std::string &name, const std::string &zone);

/// The bytes of a message. With EDNS (RFC 6891) it offers kUdpBytes.
/// @throws std::invalid_argument for a name that can't be written, with the name, and where ldns
///         can't write the whole.
[[nodiscard]] std::vector<std::uint8_t> encode(const Message &message, bool edns = true);

struct Decoded {
    std::optional<Message> message;
    /// Why there is none.
    std::string fault;
};
/// Reads any bytes: what is no message, has another class than IN, or is over a bound gives a
/// fault.
[[nodiscard]] Decoded decode(const std::uint8_t *bytes, std::size_t size);

}  // namespace deckcart::dns
