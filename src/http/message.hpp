// Heads of HTTP/1.1 messages (RFC 9112): data types and serialization.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace deckcart::http {

/// Name and value of a header field.
using Header = std::pair<std::string, std::string>;

/// Compares ASCII text case-insensitively, as for field names.
bool equalFieldNames(std::string_view left, std::string_view right);

/// Common part of request and response heads.
struct Head {
    std::vector<Header> headers;
    std::optional<std::uint64_t> length;  ///< Content-Length in bytes, if the head states it
    bool chunked = false;                 ///< Transfer-Encoding is chunked
    bool keepAlive = true;                ///< the connection may be reused after this message

    /// Returns the value of the first field with that name, or nullptr if there is none.
    const std::string *find(std::string_view name) const;
};

struct RequestHead : Head {
    std::string method;
    std::string target;
    bool expectsContinue = false;  ///< Expect: 100-continue
    bool upgrade = false;          ///< asks for another protocol, or the method is CONNECT
    bool isHttp10 = false;
};

struct ResponseHead : Head {
    int status = 0;
    std::string reason;  ///< reason phrase; when written, empty stands for the standard phrase
};

/// Why a message is rejected: it violates the protocol, exceeds the limit of the head, or uses a
/// feature that is not supported.
enum class Fault { none, malformed, headTooLarge, unsupported };

/// Returns the standard reason phrase of a status, "Unknown" for an unknown status.
std::string_view reasonOf(int status);

/// Whether a header field is end-to-end, that is, may be forwarded. False for hop-by-hop fields
/// (RFC 9110, section 7.6.1), for fields named by the Connection field, and for the framing fields,
/// which are generated for each message.
bool travels(const Head &head, std::string_view name);

/// Serializes a head, including the empty line at its end. The framing fields are generated from
/// `length` and `chunked`, the others are taken from `headers` without hop-by-hop fields.
std::string write(const RequestHead &head);
/// @param closeAfter  adds "Connection: close"
std::string write(const ResponseHead &head, bool closeAfter);

}  // namespace deckcart::http
