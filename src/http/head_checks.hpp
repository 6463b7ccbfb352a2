// The rules by which Parser refuses a head that was read whole: framing that two readers could take
// in two ways, and what this project does not speak. RFC 9112, 3.2, 6 and 7; RFC 9110, 10.1.1.
// Pure.
#pragma once

#include "message.hpp"

namespace deckcart::http {

struct ProtocolVersion {
    int major = 1;
    int minor = 1;
};
enum class MessageKind { request, response };

/// Checks Transfer-Encoding and Content-Length against each other and the version. Sets
/// head.chunked.
[[nodiscard]] Fault checkFraming(Head &head, ProtocolVersion version, MessageKind kind);

/// Checks Host and Expect. Sets head.expectsContinue.
[[nodiscard]] Fault checkRequest(RequestHead &head, ProtocolVersion version);

/// Whether a response of this status may have a body (RFC 9112, 6.3).
bool statusAllowsBody(int status);

}  // namespace deckcart::http
