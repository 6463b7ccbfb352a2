#include "parser.hpp"

#include <algorithm>

namespace deckcart::http {

// Guards against a peer that sends nothing but line ends before a request. Harm: a head without
// bound.
constexpr std::size_t kMaxEmptyLineBytes = 8;

/// The callbacks of http_parser, which knows C functions only.
struct ParserCallbacks {
    static Parser &parserOf(http_parser *state) { return *static_cast<Parser *>(state->data); }
    static int onUrl(http_parser *state, const char *bytes, std::size_t size) {
        parserOf(state).requestHead.target.append(bytes, size);
        return 0;
    }
    static int onStatus(http_parser *state, const char *bytes, std::size_t size) {
        parserOf(state).responseHead.reason.append(bytes, size);
        return 0;
    }
    static int onHeaderField(http_parser *state, const char *bytes, std::size_t size) {
        Parser &parser = parserOf(state);
        if (parser.inValue)
            parser.addHeader();
        parser.fieldName.append(bytes, size);
        return 0;
    }
    static int onHeaderValue(http_parser *state, const char *bytes, std::size_t size) {
        Parser &parser = parserOf(state);
        parser.inValue = true;
        parser.fieldValue.append(bytes, size);
        return 0;
    }
    static int onHeadersComplete(http_parser *state) {
        // What http_parser understands by these results.
        constexpr int kError = -1;
        constexpr int kReadBody = 0;
        constexpr int kSkipBody = 1;
        Parser &parser = parserOf(state);
        parser.addHeader();
        parser.completeHead();
        if (parser.foundFault != Fault::none)
            return kError;
        return parser.hasBody ? kReadBody : kSkipBody;
    }
    static int onBody(http_parser *state, const char *bytes, std::size_t size) {
        parserOf(state).handler.onBody({bytes, size});
        return 0;
    }
    static const http_parser_settings &settings() {
        static const http_parser_settings made = [] {
            http_parser_settings callbacks;
            http_parser_settings_init(&callbacks);
            callbacks.on_url = onUrl;
            callbacks.on_status = onStatus;
            callbacks.on_header_field = onHeaderField;
            callbacks.on_header_value = onHeaderValue;
            callbacks.on_headers_complete = onHeadersComplete;
            callbacks.on_body = onBody;
            return callbacks;
        }();
        return made;
    }
};

Parser::Parser(Kind messageKind, std::size_t maxHeadBytes, MessageHandler &messageHandler)
    : kind(messageKind), maxHead(maxHeadBytes), handler(messageHandler) {
    reset();
}

void Parser::reset() {
    http_parser_init(&state, kind == Kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
    state.data = this;
    stage = Stage::start;
    foundFault = Fault::none;
    headBytes = 0;
    bodyLeft = 0;
    headGuard = LineGuard(LineGuard::First::startLine);
    hasBody = false;
    fieldName.clear();
    fieldValue.clear();
    inValue = false;
    requestHead = {};
    responseHead = {};
}

Head &Parser::head() {
    return kind == Kind::request ? static_cast<Head &>(requestHead)
                                 : static_cast<Head &>(responseHead);
}

void Parser::addHeader() {
    // Trailers are dropped: nothing that we pass on may come after the body.
    if (inValue && stage != Stage::chunked)
        head().headers.emplace_back(std::move(fieldName), std::move(fieldValue));
    fieldName.clear();
    fieldValue.clear();
    inValue = false;
}

bool Parser::execute(std::string_view bytes) {
    const auto used =
        http_parser_execute(&state, &ParserCallbacks::settings(), bytes.data(), bytes.size());
    if (foundFault != Fault::none)
        return false;
    const auto problem = HTTP_PARSER_ERRNO(&state);
    if (problem != HPE_OK)
        foundFault = problem == HPE_HEADER_OVERFLOW ? Fault::headTooLarge : Fault::malformed;
    else if (used < bytes.size() && !state.upgrade)
        foundFault = Fault::malformed;
    return foundFault == Fault::none;
}

void Parser::completeHead() {
    Head &completed = head();
    const ProtocolVersion version{state.http_major, state.http_minor};
    foundFault = checkFraming(completed, version, kind);
    if (foundFault != Fault::none)
        return;
    if (completed.find("Content-Length"))
        completed.length = state.content_length;
    completed.keepAlive = http_should_keep_alive(&state) != 0;
    bodyLeft = completed.length.value_or(0);
    if (kind == Kind::request)
        completeRequest(version);
    else
        completeResponse();
    if (stage == Stage::chunked)
        chunks = ChunkReader(maxHead - headBytes);
}

void Parser::completeRequest(ProtocolVersion version) {
    requestHead.method = http_method_str(static_cast<http_method>(state.method));
    requestHead.upgrade = state.upgrade || requestHead.method == "CONNECT";
    requestHead.old = version.minor == 0;
    foundFault = checkRequest(requestHead, version);
    if (foundFault != Fault::none)
        return;
    hasBody = requestHead.chunked || bodyLeft > 0;
    if (requestHead.chunked)
        stage = Stage::chunked;
    else
        stage = hasBody ? Stage::length : Stage::done;
    handler.onHead();
}

void Parser::completeResponse() {
    responseHead.status = state.status_code;
    const bool allowsBody = statusAllowsBody(responseHead.status);
    const bool wantsBody = handler.onHead() && allowsBody;
    hasBody = wantsBody && (responseHead.chunked || !responseHead.length || bodyLeft > 0);
    if (!hasBody) {
        stage = Stage::done;
    } else if (responseHead.chunked) {
        stage = Stage::chunked;
    } else if (responseHead.length) {
        stage = Stage::length;
    } else {
        stage = Stage::untilClose;
        responseHead.keepAlive = false;
    }
}

void Parser::endMessage() {
    stage = Stage::done;
    handler.onEnd();
}

// An empty line before a request is skipped (RFC 9112, 2.2), as http_parser does.
std::size_t Parser::skipEmptyLines(std::string_view bytes) const {
    constexpr std::string_view kLineEnd = "\r\n";
    std::size_t skipped = 0;
    if (stage != Stage::start || kind != Kind::request)
        return skipped;
    while (bytes.substr(skipped, kLineEnd.size()) == kLineEnd &&
           headBytes + skipped < kMaxEmptyLineBytes)
        skipped += kLineEnd.size();
    return skipped;
}

std::size_t Parser::readHead(std::string_view bytes) {
    const std::size_t skipped = skipEmptyLines(bytes);
    if (skipped == bytes.size()) {
        headBytes += skipped;
        return skipped;
    }
    stage = Stage::head;
    std::size_t used = skipped;
    for (; used < bytes.size() && !headGuard.ended(); ++used) {
        if (++headBytes > maxHead) {
            foundFault = Fault::headTooLarge;
            return used;
        }
        if (!headGuard.accepts(bytes[used])) {
            foundFault = Fault::malformed;
            return used;
        }
    }
    execute(bytes.substr(skipped, used - skipped));
    if (foundFault == Fault::none && headGuard.ended() && stage == Stage::head)
        foundFault = Fault::malformed;
    if (foundFault == Fault::none && stage == Stage::done)
        handler.onEnd();
    return used;
}

std::size_t Parser::readLength(std::string_view bytes) {
    const auto part = std::size_t(std::min<std::uint64_t>(bodyLeft, bytes.size()));
    bodyLeft -= part;
    if (execute(bytes.substr(0, part)) && bodyLeft == 0)
        endMessage();
    return part;
}

std::size_t Parser::readChunks(std::string_view bytes) {
    const std::size_t used = chunks.feed(bytes);
    foundFault = chunks.fault();
    if (foundFault != Fault::none)
        return used;
    const bool bodyEnded = chunks.done();
    if (execute(bytes.substr(0, used)) && bodyEnded)
        endMessage();
    return used;
}

std::size_t Parser::readUntilClose(std::string_view bytes) {
    execute(bytes);
    return bytes.size();
}

std::size_t Parser::feed(std::string_view bytes) {
    std::size_t used = 0;
    while (used < bytes.size() && foundFault == Fault::none && stage != Stage::done) {
        const auto rest = bytes.substr(used);
        switch (stage) {
        case Stage::start:
        case Stage::head:
            used += readHead(rest);
            break;
        case Stage::length:
            used += readLength(rest);
            break;
        case Stage::chunked:
            used += readChunks(rest);
            break;
        case Stage::untilClose:
            used += readUntilClose(rest);
            break;
        case Stage::done:
            break;
        }
    }
    return used;
}

bool Parser::finish() {
    if (stage == Stage::untilClose) {
        endMessage();
        return true;
    }
    return stage == Stage::start || stage == Stage::done;
}

}  // namespace deckcart::http
