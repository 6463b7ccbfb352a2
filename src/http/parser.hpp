// One HTTP/1.1 message after another out of bytes. The registry's http_parser reads them; a guard
// beside it refuses what that library lets through and other readers take otherwise (request
// smuggling): bare LF, white space before the colon, folded lines, control characters, chunk sizes
// and chunk ends that are not exact.
#pragma once

#include <http_parser.h>

#include "message.hpp"

namespace deckcart::http {

enum class Fault { none, malformed, headTooLarge, unsupported };

// What a parser tells its owner, in order: head, body parts, end.
class MessageHandler {
  public:
    virtual ~MessageHandler() = default;
    // False: the message has no body, whatever its head says (an answer to HEAD).
    virtual bool onHead() = 0;
    virtual void onBody(std::string_view part) = 0;
    virtual void onEnd() = 0;
};

class Parser {
  public:
    enum class Kind { request, answer };
    Parser(Kind kind, std::size_t mostHeadBytes, MessageHandler &owner);

    // Reads up to the end of the present message; returns how many bytes that took. Stops at a
    // fault.
    std::size_t feed(std::string_view bytes);
    // The peer has closed: ends an answer whose body runs until then; false if a message is cut
    // short.
    bool finish();
    void reset();  // for the next message

    Fault fault() const { return wrong; }
    bool begun() const { return stage != Stage::start; }
    bool done() const { return stage == Stage::done; }
    const RequestHead &request() const { return requestHead; }
    const ResponseHead &answer() const { return answerHead; }

  private:
    enum class Stage { start, head, length, chunked, untilClose, done };
    enum class Line { start, name, value, sawCr, emptyCr };
    enum class Chunk { size, extension, sizeCr, data, dataCr, dataLf, trailer };

    std::size_t headPart(std::string_view bytes);
    std::size_t chunkPart(std::string_view bytes);
    bool lineByte(char c, bool trailer);
    bool run(std::string_view bytes);
    void completeHead();
    void addHeader();
    Head &head();

    Kind kind;
    std::size_t mostHead;
    MessageHandler &sink;
    http_parser state{};
    Stage stage = Stage::start;
    Line line = Line::start;
    Chunk chunk = Chunk::size;
    Fault wrong = Fault::none;
    std::size_t headBytes = 0;
    std::uint64_t left = 0;  // of the body or the chunk
    int digits = 0;
    bool firstLine = true, headEnded = false;
    bool hasBody = false;
    std::string name, value;
    bool inValue = false;
    RequestHead requestHead;
    ResponseHead answerHead;

    friend struct ParserCallbacks;
};

}  // namespace deckcart::http
