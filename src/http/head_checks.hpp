// Validation of complete message heads, used by Parser: rejects ambiguous framing, which different
// recipients may interpret differently (request smuggling), and features that are not supported.
// RFC 9112, sections 3.2, 6 and 7; RFC 9110, section 10.1.1. Performs no I/O.
#pragma once

#include "message.hpp"

namespace deckcart::http {

struct ProtocolVersion {
    int major = 1;
    int minor = 1;
};
enum class MessageKind { request, response };

/// Checks Transfer-Encoding and Content-Length against each other and against the version. Sets
/// head.chunked. Returns Fault::none, malformed or unsupported.
[[nodiscard]] Fault checkFraming(Head &head, ProtocolVersion version, MessageKind kind);

/// Checks Host and Expect. Sets head.expectsContinue. Returns Fault::none, malformed or
/// unsupported.
[[nodiscard]] Fault checkRequest(RequestHead &head, ProtocolVersion version);

/// Whether a response with this status may have a body (RFC 9112, section 6.3).
bool statusAllowsBody(int status);

}  // namespace deckcart::http
