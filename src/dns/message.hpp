// DNS messages as values, encoded and decoded with ldns: RFC 1035, 2782 (SRV), 6891 (EDNS). Used by
// the resolver, the lookup and the fake name server. Names are in lower case with the final dot.
// Only the record types needed to find a service's endpoints are kept; others are ignored. Pure.
#pragma once

#include <asio/ip/address.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace deckcart::dns {

/// Largest message accepted over UDP, in bytes: is not fragmented on any usual path (DNS flag day
/// 2020).
constexpr std::uint16_t kMaxUdpMessageBytes = 1232;
/// Maximum number of records in a message: about five times what the largest site needs, which has
/// 300 servers with two addresses each.
constexpr std::size_t kMaxRecords = 4096;

/// Supported record types (RFC 1035, 3.2.2; RFC 3596; RFC 2782).
enum class RecordType : std::uint16_t { a = 1, cname = 5, soa = 6, aaaa = 28, srv = 33 };
[[nodiscard]] const char *nameOf(RecordType type);

/// Data of an SRV record (RFC 2782).
struct Srv {
    std::uint16_t priority = 0;
    std::uint16_t weight = 0;
    std::uint16_t port = 0;
    std::string target;
    bool operator==(const Srv &) const = default;
};

/// Data of a CNAME record (RFC 1035, 3.3.1).
struct Cname {
    std::string target;
    bool operator==(const Cname &) const = default;
};

/// The part of an SOA record that is used (RFC 1035, 3.3.13).
struct Soa {
    /// MINIMUM, in seconds: upper limit of the TTL of negative answers (RFC 2308, 4).
    std::uint32_t negativeTtlSeconds = 0;
    bool operator==(const Soa &) const = default;
};

using RecordData = std::variant<Srv, Cname, Soa, asio::ip::address>;

struct Record {
    std::string owner;
    /// TTL; one with the highest bit set is read as 0 (RFC 2181, 8).
    std::uint32_t ttlSeconds = 0;
    RecordData data;
    bool operator==(const Record &) const = default;
};

struct Question {
    std::string name;
    RecordType type = RecordType::srv;
    bool operator==(const Question &) const = default;
};

/// Response codes (RFC 1035, 4.1.1).
enum class ResponseCode : std::uint8_t {
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
    /// The response code: a value of ResponseCode, or any other that was received.
    std::uint8_t code = 0;
    std::optional<Question> question;
    std::vector<Record> answers;
    std::vector<Record> authority;
    std::vector<Record> additional;
};

/// The name in lower case with the final dot. Empty if it is not a valid host or service name:
/// labels of 1 to 63 letters, digits, hyphens or underscores, 253 characters at most (RFC 1035,
/// 2.3.4; RFC 2782 for the underscores).
[[nodiscard]] std::string canonicalName(std::string_view name);
/// Maximum length of a label (RFC 1035, 2.3.4).
constexpr std::size_t kMaxLabelBytes = 63;
/// Whether `name` equals `zone` or is a subdomain of it; both canonical.
[[nodiscard]] bool within(const std::string &name, const std::string &zone);

/// Encodes a message. With EDNS (RFC 6891) it announces kMaxUdpMessageBytes as the payload size.
/// @throws std::invalid_argument if a name can't be encoded, with the name in the text, or if ldns
///         can't encode the message.
[[nodiscard]] std::vector<std::uint8_t> encode(const Message &message, bool edns = true);

/// Result of decode().
struct Decoded {
    std::optional<Message> message;
    /// Why there is no message.
    std::string fault;
};
/// Decodes a message from untrusted bytes. The result is a fault if they are malformed, exceed a
/// limit, or ask a question of another class than IN. Records of other classes are ignored.
[[nodiscard]] Decoded decode(const std::uint8_t *bytes, std::size_t size);

}  // namespace deckcart::dns
