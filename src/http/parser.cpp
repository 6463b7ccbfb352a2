#include "parser.hpp"

#include <algorithm>

namespace deckcart::http {

// Limits the empty lines before a request. Without it, a peer could send line ends forever without
// reaching the limit of the head.
constexpr std::size_t kMaxEmptyLineBytes = 8;

// Fields of a head. Each takes some 64 bytes besides its text, many times its length if it is
// short.
constexpr std::size_t kMaxFields = 128;

/// Callbacks for http_parser, which accepts only C functions.
struct ParserCallbacks {
    static Parser &getParser(http_parser *state) { return *static_cast<Parser *>(state->data); }
    static int onUrl(http_parser *state, const char *bytes, std::size_t size) {
        getParser(state).requestHead.target.append(bytes, size);
        return 0;
    }
    static int onStatus(http_parser *state, const char *bytes, std::size_t size) {
        getParser(state).responseHead.reason.append(bytes, size);
        return 0;
    }
    static int onHeaderField(http_parser *state, const char *bytes, std::size_t size) {
        Parser &parser = getParser(state);
        if (parser.valueStarted)
            parser.storeField();
        parser.fieldName.append(bytes, size);
        return 0;
    }
    static int onHeaderValue(http_parser *state, const char *bytes, std::size_t size) {
        Parser &parser = getParser(state);
        parser.valueStarted = true;
        parser.fieldValue.append(bytes, size);
        return 0;
    }
    static int onHeadersComplete(http_parser *state) {
        // Return values that http_parser defines for this callback.
        constexpr int kError = -1;
        constexpr int kReadBody = 0;
        constexpr int kSkipBody = 1;
        Parser &parser = getParser(state);
        parser.storeField();
        parser.completeHead();
        if (parser.foundFault != Fault::none)
            return kError;
        return parser.hasBody ? kReadBody : kSkipBody;
    }
    static int onBody(http_parser *state, const char *bytes, std::size_t size) {
        getParser(state).handler.onBody({bytes, size});
        return 0;
    }
    static const http_parser_settings &settings() {
        static const http_parser_settings parserSettings = [] {
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
        return parserSettings;
    }
};

Parser::Parser(Kind messageKind, std::size_t maxHeadBytes, MessageHandler &messageHandler)
    : kind(messageKind), headLimit(maxHeadBytes), handler(messageHandler) {
    reset();
}

void Parser::reset() {
    http_parser_init(&state, kind == Kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
    state.data = this;
    stage = Stage::start;
    foundFault = Fault::none;
    headBytes = 0;
    bodyBytesLeft = 0;
    headValidator = LineValidator(LineValidator::FirstLine::startLine);
    hasBody = false;
    fieldName.clear();
    fieldValue.clear();
    valueStarted = false;
    requestHead = {};
    responseHead = {};
}

Head &Parser::head() {
    return kind == Kind::request ? static_cast<Head &>(requestHead)
                                 : static_cast<Head &>(responseHead);
}

void Parser::storeField() {
    if (head().headers.size() >= kMaxFields)
        foundFault = Fault::headTooLarge;
    // Trailers are dropped, since the gateway does not forward fields that come after the body.
    else if (valueStarted && stage != Stage::chunked)
        head().headers.emplace_back(std::move(fieldName), std::move(fieldValue));
    fieldName.clear();
    fieldValue.clear();
    valueStarted = false;
}

bool Parser::runHttpParser(std::string_view bytes) {
    const auto used =
        http_parser_execute(&state, &ParserCallbacks::settings(), bytes.data(), bytes.size());
    if (foundFault != Fault::none)
        return false;
    const auto parserError = HTTP_PARSER_ERRNO(&state);
    if (parserError != HPE_OK)
        foundFault = parserError == HPE_HEADER_OVERFLOW ? Fault::headTooLarge : Fault::malformed;
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
    bodyBytesLeft = completed.length.value_or(0);
    if (kind == Kind::request)
        completeRequest(version);
    else
        completeResponse();
    if (stage == Stage::chunked)
        chunkReader = ChunkReader(headLimit - headBytes);
}

void Parser::completeRequest(ProtocolVersion version) {
    requestHead.method = http_method_str(static_cast<http_method>(state.method));
    requestHead.upgrade = state.upgrade || requestHead.method == "CONNECT";
    requestHead.isHttp10 = version.minor == 0;
    foundFault = checkRequest(requestHead, version);
    if (foundFault != Fault::none)
        return;
    hasBody = requestHead.chunked || bodyBytesLeft > 0;
    if (requestHead.chunked)
        stage = Stage::chunked;
    else
        stage = hasBody ? Stage::fixedLength : Stage::done;
    handler.onHead();
}

void Parser::completeResponse() {
    responseHead.status = state.status_code;
    const bool allowsBody = statusAllowsBody(responseHead.status);
    const bool wantsBody = handler.onHead() && allowsBody;
    hasBody = wantsBody && (responseHead.chunked || !responseHead.length || bodyBytesLeft > 0);
    if (!hasBody) {
        stage = Stage::done;
    } else if (responseHead.chunked) {
        stage = Stage::chunked;
    } else if (responseHead.length) {
        stage = Stage::fixedLength;
    } else {
        stage = Stage::untilClose;
        responseHead.keepAlive = false;
    }
}

void Parser::completeMessage() {
    stage = Stage::done;
    handler.onEnd();
}

// Skips empty lines before a request (RFC 9112, section 2.2), as http_parser does.
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
    for (; used < bytes.size() && !headValidator.isComplete(); ++used) {
        if (++headBytes > headLimit) {
            foundFault = Fault::headTooLarge;
            return used;
        }
        if (!headValidator.accept(bytes[used])) {
            foundFault = Fault::malformed;
            return used;
        }
    }
    runHttpParser(bytes.substr(skipped, used - skipped));
    if (foundFault == Fault::none && headValidator.isComplete() && stage == Stage::head)
        foundFault = Fault::malformed;
    if (foundFault == Fault::none && stage == Stage::done)
        handler.onEnd();
    return used;
}

std::size_t Parser::readFixedLengthBody(std::string_view bytes) {
    const auto part = std::size_t(std::min<std::uint64_t>(bodyBytesLeft, bytes.size()));
    bodyBytesLeft -= part;
    if (runHttpParser(bytes.substr(0, part)) && bodyBytesLeft == 0)
        completeMessage();
    return part;
}

std::size_t Parser::readChunkedBody(std::string_view bytes) {
    const std::size_t used = chunkReader.feed(bytes);
    foundFault = chunkReader.fault();
    if (foundFault != Fault::none)
        return used;
    const bool bodyEnded = chunkReader.done();
    if (runHttpParser(bytes.substr(0, used)) && bodyEnded)
        completeMessage();
    return used;
}

std::size_t Parser::readBodyUntilClose(std::string_view bytes) {
    runHttpParser(bytes);
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
        case Stage::fixedLength:
            used += readFixedLengthBody(rest);
            break;
        case Stage::chunked:
            used += readChunkedBody(rest);
            break;
        case Stage::untilClose:
            used += readBodyUntilClose(rest);
            break;
        case Stage::done:
            break;
        }
    }
    return used;
}

bool Parser::finish() {
    if (stage == Stage::untilClose) {
        completeMessage();
        return true;
    }
    return stage == Stage::start || stage == Stage::done;
}

}  // namespace deckcart::http
