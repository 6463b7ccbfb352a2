#include "parser.hpp"

#include <algorithm>

namespace deckcart::http {

constexpr int kMostChunkDigits =
    8;  // 4 GiB a chunk: more is no honest peer's, and the sum cannot run over

struct ParserCallbacks {
    static Parser &of(http_parser *p) { return *static_cast<Parser *>(p->data); }
    static int target(http_parser *p, const char *at, std::size_t n) {
        of(p).requestHead.target.append(at, n);
        return 0;
    }
    static int status(http_parser *p, const char *at, std::size_t n) {
        of(p).answerHead.reason.append(at, n);
        return 0;
    }
    static int field(http_parser *p, const char *at, std::size_t n) {
        Parser &self = of(p);
        if (self.inValue)
            self.addHeader();
        self.name.append(at, n);
        return 0;
    }
    static int value(http_parser *p, const char *at, std::size_t n) {
        of(p).inValue = true;
        of(p).value.append(at, n);
        return 0;
    }
    static int headComplete(http_parser *p) {
        Parser &self = of(p);
        self.addHeader();
        self.completeHead();
        if (self.wrong != Fault::none)
            return -1;
        return self.hasBody ? 0 : 1;
    }
    static int body(http_parser *p, const char *at, std::size_t n) {
        of(p).sink.onBody({at, n});
        return 0;
    }
    static const http_parser_settings &all() {
        static const http_parser_settings settings = [] {
            http_parser_settings s;
            http_parser_settings_init(&s);
            s.on_url = target, s.on_status = status, s.on_header_field = field,
            s.on_header_value = value;
            s.on_headers_complete = headComplete, s.on_body = body;
            return s;
        }();
        return settings;
    }
};

Parser::Parser(Kind which, std::size_t mostHeadBytes, MessageHandler &owner)
    : kind(which), mostHead(mostHeadBytes), sink(owner) {
    reset();
}

void Parser::reset() {
    http_parser_init(&state, kind == Kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
    state.data = this;
    stage = Stage::start, line = Line::start, chunk = Chunk::size, wrong = Fault::none;
    headBytes = left = 0, digits = 0, firstLine = true, headEnded = hasBody = inValue = false;
    name.clear(), value.clear();
    requestHead = {}, answerHead = {};
}

Head &Parser::head() {
    return kind == Kind::request ? static_cast<Head &>(requestHead)
                                 : static_cast<Head &>(answerHead);
}

void Parser::addHeader() {
    // Trailers are dropped: nothing that we pass on may come after the body.
    if (inValue && stage != Stage::chunked)
        head().headers.emplace_back(std::move(name), std::move(value));
    name.clear(), value.clear(), inValue = false;
}

bool Parser::run(std::string_view bytes) {
    const auto used =
        http_parser_execute(&state, &ParserCallbacks::all(), bytes.data(), bytes.size());
    if (wrong != Fault::none)
        return false;
    const auto problem = HTTP_PARSER_ERRNO(&state);
    if (problem != HPE_OK)
        wrong = problem == HPE_HEADER_OVERFLOW ? Fault::headTooLarge : Fault::malformed;
    else if (used < bytes.size() && !state.upgrade)
        wrong = Fault::malformed;
    return wrong == Fault::none;
}

void Parser::completeHead() {
    Head &h = head();
    int codings = 0, lengths = 0;
    for (const auto &[field, text] : h.headers) {
        if (sameName(field, "Transfer-Encoding")) {
            ++codings;
            h.chunked = sameName(text, "chunked");
            // Any coding but chunked alone is refused: what follows would be read in two ways.
            if (!h.chunked)
                wrong = kind == Kind::request ? Fault::unsupported : Fault::malformed;
        }
        if (sameName(field, "Content-Length")) {
            ++lengths;
            // http_parser checks the digits too, but takes white space between them.
            if (text.empty() ||
                !std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; }))
                wrong = Fault::malformed;
        }
    }
    if (codings > 1 || lengths > 1 || (codings && lengths))
        wrong = Fault::malformed;
    // Chunks came with HTTP/1.1; from an older peer they were not meant by it.
    if (codings && (state.http_major != 1 || state.http_minor < 1))
        wrong = Fault::malformed;
    if (state.http_major != 1)
        wrong = Fault::malformed;
    if (wrong != Fault::none)
        return;
    if (lengths)
        h.length = state.content_length;
    h.keepAlive = http_should_keep_alive(&state) != 0;
    if (kind == Kind::request) {
        requestHead.method = http_method_str(static_cast<http_method>(state.method));
        const std::string *expect = requestHead.find("Expect");
        requestHead.expectsContinue = expect && sameName(*expect, "100-continue");
        if (expect && !requestHead.expectsContinue)
            wrong = Fault::unsupported;
        requestHead.upgrade = state.upgrade || requestHead.method == "CONNECT";
        requestHead.old = state.http_minor == 0;
        int hosts = 0;
        for (const auto &[field, text] : h.headers)
            hosts += sameName(field, "Host");
        if (hosts > 1 || (hosts == 0 && state.http_minor >= 1))
            wrong = Fault::malformed;  // RFC 9112, 3.2
        if (wrong != Fault::none)
            return;
        hasBody = h.chunked || h.length.value_or(0) > 0;
        left = h.length.value_or(0);
        stage = h.chunked ? Stage::chunked : hasBody ? Stage::length : Stage::done;
        sink.onHead();
    } else {
        answerHead.status = state.status_code;
        const bool bodiless =
            answerHead.status < 200 || answerHead.status == 204 || answerHead.status == 304;
        const bool wanted = sink.onHead() && !bodiless;
        hasBody = wanted && (h.chunked || !h.length || *h.length > 0);
        left = h.length.value_or(0);
        stage = !hasBody    ? Stage::done
                : h.chunked ? Stage::chunked
                : h.length  ? Stage::length
                            : Stage::untilClose;
        if (stage == Stage::untilClose)
            h.keepAlive = false;
    }
}

// One byte of a start line, a field line or a trailer; false if no peer we trust would write it.
bool Parser::lineByte(char c, bool trailer) {
    const auto u = static_cast<unsigned char>(c);
    switch (line) {
    case Line::start:
        if (c == '\r')
            return line = Line::emptyCr, !firstLine || trailer;
        if (c == ' ' || c == '\t' || c == '\n' || c == ':')
            return false;  // folded line, bare LF, no name
        line = firstLine && !trailer ? Line::value : Line::name;
        return u > 0x20 && u != 0x7f;
    case Line::name:
        if (c == ':')
            return line = Line::value, true;
        return u > 0x20 && u < 0x7f;
    case Line::value:
        if (c == '\r')
            return line = Line::sawCr, true;
        return c == '\t' || (u >= 0x20 && u != 0x7f);
    case Line::sawCr:
        return line = Line::start, firstLine = false, c == '\n';
    case Line::emptyCr:
        return headEnded = true, c == '\n';
    }
    return false;
}

std::size_t Parser::headPart(std::string_view bytes) {
    std::size_t n = 0;
    // An empty line before a request is skipped (RFC 9112, 2.2), as the parser does.
    if (stage == Stage::start && kind == Kind::request)
        while (bytes.substr(n, 2) == "\r\n" && headBytes + n < 8)
            n += 2;
    if (n == bytes.size())
        return headBytes += n, n;
    stage = Stage::head;
    const std::size_t from = n;
    for (; n < bytes.size() && !headEnded; ++n) {
        if (++headBytes > mostHead)
            return wrong = Fault::headTooLarge, n;
        if (!lineByte(bytes[n], false))
            return wrong = Fault::malformed, n;
    }
    run(bytes.substr(from, n - from));
    if (wrong == Fault::none && headEnded && stage == Stage::head)
        wrong = Fault::malformed;
    return n;
}

std::size_t Parser::chunkPart(std::string_view bytes) {
    std::size_t n = 0;
    bool over = false;
    const auto bad = [&] { return wrong = Fault::malformed, n; };
    while (n < bytes.size() && !over) {
        const char c = bytes[n];
        switch (chunk) {
        case Chunk::size: {
            const int digit = c >= '0' && c <= '9'   ? c - '0'
                              : c >= 'a' && c <= 'f' ? c - 'a' + 10
                              : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                                     : -1;
            if (digit >= 0) {
                if (++digits > kMostChunkDigits)
                    return bad();
                left = left * 16 + std::uint64_t(digit);
            } else if (digits > 0 && c == '\r')
                chunk = Chunk::sizeCr;
            else if (digits > 0 && c == ';')
                chunk = Chunk::extension;
            else
                return bad();
            ++n;
            break;
        }
        case Chunk::extension:
            if (++headBytes > mostHead)
                return wrong = Fault::headTooLarge, n;
            if (c == '\r')
                chunk = Chunk::sizeCr;
            else if (c == '\n' || c == '\0')
                return bad();
            ++n;
            break;
        case Chunk::sizeCr:
            if (c != '\n')
                return bad();
            chunk = left > 0 ? Chunk::data : Chunk::trailer;
            line = Line::start, headEnded = false, digits = 0, ++n;
            break;
        case Chunk::data: {
            const auto part = std::min<std::uint64_t>(left, bytes.size() - n);
            n += part, left -= part;
            if (left == 0)
                chunk = Chunk::dataCr;
            break;
        }
        case Chunk::dataCr:
            if (c != '\r')
                return bad();
            chunk = Chunk::dataLf, ++n;
            break;
        case Chunk::dataLf:
            if (c != '\n')
                return bad();
            chunk = Chunk::size, ++n;
            break;
        case Chunk::trailer:
            if (++headBytes > mostHead)
                return wrong = Fault::headTooLarge, n;
            if (!lineByte(c, true))
                return bad();
            over = headEnded, ++n;
            break;
        }
    }
    if (!run(bytes.substr(0, n)))
        return n;
    if (over)
        stage = Stage::done, sink.onEnd();
    return n;
}

std::size_t Parser::feed(std::string_view bytes) {
    std::size_t used = 0;
    while (used < bytes.size() && wrong == Fault::none && stage != Stage::done) {
        const auto rest = bytes.substr(used);
        switch (stage) {
        case Stage::start:
        case Stage::head:
            used += headPart(rest);
            if (wrong == Fault::none && stage == Stage::done)
                sink.onEnd();
            break;
        case Stage::length: {
            const auto part = std::size_t(std::min<std::uint64_t>(left, rest.size()));
            left -= part, used += part;
            if (run(rest.substr(0, part)) && left == 0)
                stage = Stage::done, sink.onEnd();
            break;
        }
        case Stage::chunked:
            used += chunkPart(rest);
            break;
        case Stage::untilClose:
            run(rest), used += rest.size();
            break;
        case Stage::done:
            break;
        }
    }
    return used;
}

bool Parser::finish() {
    if (stage == Stage::untilClose)
        return stage = Stage::done, sink.onEnd(), true;
    return stage == Stage::start || stage == Stage::done;
}

}  // namespace deckcart::http
