// Incremental parser of HTTP/1.1 messages (RFC 9112) for server and client connections. It is based
// on the library http_parser; LineValidator, ChunkReader and the head checks reject what that
// library tolerates and other implementations interpret differently (request smuggling).
#pragma once

#include <http_parser.h>

#include "chunk_reader.hpp"
#include "head_checks.hpp"
#include "line_validator.hpp"
#include "message.hpp"

namespace deckcart::http {

/// Callbacks of a parser, in this order: head, parts of the body, end.
class MessageHandler {
  public:
    virtual ~MessageHandler() = default;
    /// Returns false if the message has no body whatever its head states, as in a response to HEAD.
    virtual bool onHead() = 0;
    virtual void onBody(std::string_view part) = 0;
    virtual void onEnd() = 0;
};

/// Parses messages of one kind. The handler must outlive the parser. After a fault, nothing more is
/// read until reset().
class Parser {
  public:
    using Kind = MessageKind;
    /// @param maxHeadBytes  limit for the head together with chunk extensions and trailers
    Parser(Kind kind, std::size_t maxHeadBytes, MessageHandler &handler);

    /// Reads up to the end of the current message or up to a fault and returns the number of bytes
    /// consumed.
    std::size_t feed(std::string_view bytes);
    /// Reports that the peer has closed the connection, which completes a response whose body
    /// extends to the close. Returns false if the current message is incomplete.
    bool finish();
    /// Prepares for the next message.
    void reset();

    Fault fault() const { return foundFault; }
    /// True once a byte of the current message was read, empty lines before a request left out.
    bool started() const { return stage != Stage::start; }
    /// True once the current message is complete.
    bool done() const { return stage == Stage::done; }
    const RequestHead &request() const { return requestHead; }
    const ResponseHead &response() const { return responseHead; }

  private:
    enum class Stage { start, head, fixedLength, chunked, untilClose, done };

    std::size_t readHead(std::string_view bytes);
    std::size_t skipEmptyLines(std::string_view bytes) const;
    std::size_t readFixedLengthBody(std::string_view bytes);
    std::size_t readChunkedBody(std::string_view bytes);
    std::size_t readBodyUntilClose(std::string_view bytes);
    bool runHttpParser(std::string_view bytes);
    void completeHead();
    void completeRequest(ProtocolVersion version);
    void completeResponse();
    void storeField();
    void completeMessage();
    Head &head();

    Kind kind;
    std::size_t headLimit;
    MessageHandler &handler;
    http_parser state{};
    Stage stage = Stage::start;
    Fault foundFault = Fault::none;
    std::size_t headBytes = 0;
    std::uint64_t bodyBytesLeft = 0;  // of a body with Content-Length, not received yet
    LineValidator headValidator{LineValidator::FirstLine::startLine};
    ChunkReader chunkReader{0};
    bool hasBody = false;
    std::string fieldName;
    std::string fieldValue;
    bool valueStarted = false;
    RequestHead requestHead;
    ResponseHead responseHead;

    friend struct ParserCallbacks;
};

}  // namespace deckcart::http
