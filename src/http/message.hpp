// Heads of HTTP/1.1 messages (RFC 9112) as values, and how they are written out.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace deckcart::http {

using Header = std::pair<std::string, std::string>;

/// Field names are compared without case.
bool equalFieldNames(std::string_view left, std::string_view right);

/// What heads of requests and responses share.
struct Head {
    std::vector<Header> headers;
    std::optional<std::uint64_t> length;  ///< of the body in bytes, where it is stated
    bool chunked = false;
    bool keepAlive = true;

    /// The value of the first field of that name; null: there is none.
    const std::string *find(std::string_view name) const;
};

struct RequestHead : Head {
    std::string method;
    std::string target;
    bool expectsContinue = false;
    bool upgrade = false;
    bool old = false;  ///< HTTP/1.0
};

struct ResponseHead : Head {
    int status = 0;
    std::string reason;
};

/// Why a message is refused: it breaks the protocol, goes over a limit, or is not spoken here.
enum class Fault { none, malformed, headTooLarge, unsupported };

/// The phrase that goes with a status; "Unknown" for one without.
std::string_view reasonOf(int status);

/// Whether a field may be passed on. False for those that belong to one connection only (RFC 9110,
/// 7.6.1), those that its Connection field names, and the framing, which is written anew.
bool travels(const Head &head, std::string_view name);

/// A whole head with its empty line. Framing comes from length and chunked; the rest from headers.
std::string write(const RequestHead &head);
std::string write(const ResponseHead &head, bool closes);

}  // namespace deckcart::http
