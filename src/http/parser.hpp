// One HTTP/1.1 message after another out of bytes, for the connections of both sides. The
// registry's http_parser reads them; LineGuard, ChunkReader and the head checks refuse what that
// library lets through and other readers take otherwise (request smuggling). RFC 9112.
#pragma once

#include <http_parser.h>

#include "chunk_reader.hpp"
#include "head_checks.hpp"
#include "line_guard.hpp"
#include "message.hpp"

namespace deckcart::http {

/// What a parser reports, in order: head, body parts, end.
class MessageHandler {
  public:
    virtual ~MessageHandler() = default;
    /// False: the message has no body, whatever its head says (a response to HEAD).
    virtual bool onHead() = 0;
    virtual void onBody(std::string_view part) = 0;
    virtual void onEnd() = 0;
};

/// Reads messages of one kind; the handler must outlive it. A fault is final until reset().
class Parser {
  public:
    using Kind = MessageKind;
    /// @param maxHeadBytes  bound of the head together with chunk extensions and trailers
    Parser(Kind kind, std::size_t maxHeadBytes, MessageHandler &handler);

    /// Reads up to the end of the present message; returns how many bytes that took. Stops at a
    /// fault.
    std::size_t feed(std::string_view bytes);
    /// The peer has closed: ends a response whose body runs until then. False if a message is cut
    /// short.
    bool finish();
    /// Ready for the next message.
    void reset();

    Fault fault() const { return foundFault; }
    bool begun() const { return stage != Stage::start; }
    bool done() const { return stage == Stage::done; }
    const RequestHead &request() const { return requestHead; }
    const ResponseHead &response() const { return responseHead; }

  private:
    enum class Stage { start, head, length, chunked, untilClose, done };

    std::size_t readHead(std::string_view bytes);
    std::size_t skipEmptyLines(std::string_view bytes) const;
    std::size_t readLength(std::string_view bytes);
    std::size_t readChunks(std::string_view bytes);
    std::size_t readUntilClose(std::string_view bytes);
    bool execute(std::string_view bytes);
    void completeHead();
    void completeRequest(ProtocolVersion version);
    void completeResponse();
    void addHeader();
    void endMessage();
    Head &head();

    Kind kind;
    std::size_t maxHead;
    MessageHandler &handler;
    http_parser state{};
    Stage stage = Stage::start;
    Fault foundFault = Fault::none;
    std::size_t headBytes = 0;
    std::uint64_t bodyLeft = 0;  // bytes of a body of stated length that have not come
    LineGuard headGuard{LineGuard::First::startLine};
    ChunkReader chunks{0};
    bool hasBody = false;
    std::string fieldName;
    std::string fieldValue;
    bool inValue = false;
    RequestHead requestHead;
    ResponseHead responseHead;

    friend struct ParserCallbacks;
};

}  // namespace deckcart::http
